#pragma once

#include "random/scheduler.hpp"

#include "papayafall/core/values/configuration.hpp"
#include "papayafall/core/values/host.hpp"
#include "papayafall/core/values/work.hpp"

#include <map>
#include <optional>
#include <set>

namespace papayafall::random_runs {

/// Answer to the claim of a seat: the number of acquisitions of the seat so far, or empty if the
/// claim was refused.
using claim_outcome = std::optional<std::uint64_t>;

/// Model of the platform: sessions, locks on seats, and the configuration.
class platform_model {
  public:
    static constexpr std::chrono::seconds session_ttl{5};

    platform_model(scheduler& time, random_source& rng) : time_(time), rng_(rng) {}

    /// Returns whether hosts of `zone` can reach the platform.
    bool reachable(const zone_name& zone) const
    {
        return available && !unreachable_zones.contains(zone);
    }

    /// Renews the session of `holder`, or opens one if `open` is set.
    /// @return false if there is no session to renew
    bool renew_session(const peer_id& holder, bool open);

    /// Claims `seat` for the session of `holder`.
    claim_outcome claim(const peer_id& holder, const seat_id& seat);

    /// Ends the session of `holder` immediately.
    void end_session(const peer_id& holder) { sessions_.erase(holder); }

    /// Confirms a change that is based on revision `base`.
    /// @return false if `base` is not the current revision, because another change came first
    bool confirm_change(revision_id base);

    const configuration& current_configuration() const noexcept { return current_configuration_; }

    void set_configuration(const configuration& next) { current_configuration_ = next; }

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
    configuration current_configuration_;
};

} // namespace papayafall::random_runs
