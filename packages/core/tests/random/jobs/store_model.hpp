#pragma once

#include "random/schedule.hpp"

#include "papayafall/core/jobs/messages/job_action.hpp"
#include "papayafall/core/jobs/values/membership.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>

namespace papayafall::random_runs {

/// The platform's store: workers, hosts and claims, with revisions and leases.
class store_model {
  public:
    using lease_id = std::uint64_t;

    /// What stands under a key; hosts and claims go with their lease.
    struct item {
        std::variant<jobs::worker_fields, jobs::host_entry, jobs::cell_claim> content;
        std::uint64_t revision = 0;
        lease_id lease = 0;
    };

    explicit store_model(schedule& time) : time_(time) {}

    bool up() const noexcept { return up_; }

    void set_up(bool up) { up_ = up; }

    lease_id open_lease();
    /// Whether the lease was there.
    bool renew(lease_id lease);
    void end_lease(lease_id lease);
    /// Takes all leases away, and what was written under them.
    void revoke_all();

    void put_worker(const jobs::worker_fields& entry);
    void remove_worker(const jobs::worker_id& id);
    void put_host(const jobs::host_entry& entry, lease_id lease);
    /// @returns the revision of the claim, or nothing where another stands there
    std::optional<jobs::store_revision> claim(const jobs::claim_cell& order,
                                              const jobs::host_entry& holder, lease_id lease);
    void release(const jobs::release_cell& order);

    /// Items as they are now, leases that ran out removed.
    const std::map<std::string, item>& items();

  private:
    void expire();
    void drop_lease(lease_id lease);

    schedule& time_;
    bool up_ = true;
    std::uint64_t revision_ = 0;
    lease_id last_lease_ = 0;
    std::map<lease_id, time_point> leases_; ///< when each runs out
    std::map<std::string, item> items_;
};

} // namespace papayafall::random_runs
