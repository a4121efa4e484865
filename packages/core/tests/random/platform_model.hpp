#pragma once

#include "random/schedule.hpp"

#include "papayafall/core/values/configuration.hpp"
#include "papayafall/core/values/host.hpp"
#include "papayafall/core/values/work.hpp"

#include <map>
#include <optional>
#include <set>

namespace papayafall::random_runs {

/// How the platform answered a claim of a seat: the number of the acquisition, or none.
using claim_outcome = std::optional<std::uint64_t>;

/// The platform's service: sessions, locks on seats, and the operators' configuration.
class platform_model {
  public:
    static constexpr std::chrono::seconds session_ttl{5};

    platform_model(scheduler& time, random_source& rng) : time_(time), rng_(rng) {}

    /// Whether a host of `zone` reaches the service.
    bool reachable(const zone_name& zone) const
    {
        return available && !unreachable_zones.contains(zone);
    }

    /// Opens a session, or renews it; false when it has ended.
    bool renew_session(const peer_id& holder, bool open);

    claim_outcome claim(const peer_id& holder, const seat_id& seat);

    /// Ends the session of `holder` at once.
    void end_session(const peer_id& holder) { sessions_.erase(holder); }

    /// Confirms one change against `base`; false when another operator was first.
    bool confirm_change(revision_id base);

    const configuration& current() const noexcept { return current_; }

    void set_configuration(const configuration& next) { current_ = next; }

    bool available = true;
    std::set<zone_name> unreachable_zones;

  private:
    struct session {
        std::uint64_t number = 0;
        time_point ends_at{};
    };

    struct seat_lock {
        peer_id holder;
        std::uint64_t session = 0;
        std::uint64_t acquisitions = 0;
    };

    bool has_session(const peer_id& holder) const;
    bool is_held(const seat_lock& lock) const;

    scheduler& time_;
    random_source& rng_;
    std::map<peer_id, session> sessions_;
    std::uint64_t next_session_ = 1;
    std::map<seat_id, seat_lock> seats_;
    configuration current_;
};

} // namespace papayafall::random_runs
