#pragma once

#include "random/scheduler.hpp"

#include "papayafall/core/jobs/messages/job_action.hpp"
#include "papayafall/core/jobs/values/membership.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>

namespace papayafall::random_runs {

/// Model of the platform's store: entries of workers, hosts and claims, with revisions and leases.
class store_model {
  public:
    using lease_id = std::uint64_t;

    /// Entry of the store. Hosts and claims are removed when their lease ends.
    struct item {
        std::variant<jobs::worker_fields, jobs::host_entry, jobs::cell_claim> content;
        std::uint64_t revision = 0;
        lease_id lease = 0;
    };

    explicit store_model(scheduler& time) : time_(time) {}

    bool up() const noexcept { return up_; }

    void set_up(bool up) { up_ = up; }

    lease_id create_lease();
    /// Extends a lease. Returns false if it does not exist or has expired.
    bool renew(lease_id lease);
    void revoke_lease(lease_id lease);
    /// Revokes all leases and removes the entries written under them.
    void revoke_all_leases();

    void put_worker(const jobs::worker_fields& entry);
    void remove_worker(const jobs::worker_id& id);
    void put_host(const jobs::host_entry& entry, lease_id lease);
    /// Writes a claim if the stored one has the expected revision.
    /// @returns the revision of the claim, or nothing if the lease has ended or the revision
    /// differs
    std::optional<jobs::store_revision> claim(const jobs::claim_cell& request,
                                              const jobs::host_entry& holder, lease_id lease);
    void release(const jobs::release_cell& request);

    /// Version of the operators' configuration.
    std::uint64_t configuration_version() const noexcept { return configuration_version_; }

    void change_configuration() { ++configuration_version_; }

    /// Asks the hosts to start nothing more in a zone, or takes this back.
    void evacuate(const zone_name& zone, bool evacuated);

    /// Revision of the request to evacuate each zone.
    const std::map<zone_name, jobs::store_revision>& evacuations() const noexcept
    {
        return evacuations_;
    }

    jobs::store_revision revision() const noexcept { return jobs::store_revision(revision_); }

    /// Returns all entries whose leases have not expired.
    const std::map<std::string, item>& items();

  private:
    void expire_leases();
    void drop_lease(lease_id lease);

    scheduler& time_;
    bool up_ = true;
    std::uint64_t revision_ = 0;
    std::uint64_t configuration_version_ = 1;
    std::map<zone_name, jobs::store_revision> evacuations_;
    lease_id last_lease_ = 0;
    std::map<lease_id, time_point> leases_; ///< expiry of each lease
    std::map<std::string, item> items_;
};

} // namespace papayafall::random_runs
