#pragma once

#include "random/scheduler.hpp"

#include "papayafall/core/engine/standard_engine.hpp"

#include <memory>
#include <string>
#include <vector>

namespace papayafall::random_runs {

/// Entry host with at most one process at a time. The process has its own clocks and can be
/// suspended.
struct host_process {
    host_name name;
    zone_name zone;
    /// Index of the host. Its port in both protocols is `first_port + number`.
    std::uint16_t number = 0;

    std::unique_ptr<engine> core; ///< empty while the host is down
    incarnation_id incarnation;
    time_point started_at{};
    duration steady_offset{};               ///< its monotonic clock minus virtual time
    std::chrono::milliseconds wall_error{}; ///< its wall clock minus true time
    time_point suspended_until{};
    /// End of its last suspension or disconnection from the platform, or its start if later.
    time_point cut_off_until{};
    time_point host_list_received_at{}; ///< time of the last host list that it handled
    std::vector<event> inbox;           ///< events that arrived while it was suspended
    bool watches_configuration = false;
    bool session_open = false;
    bool stopping = false;

    peer_id id() const { return peer_id{.host = name, .incarnation = incarnation}; }

    std::string process_name() const
    {
        return name.text() + "#" + std::to_string(incarnation.value());
    }

    clock_reading read_clocks(time_point now) const
    {
        const auto wall = wall_time(std::chrono::duration_cast<std::chrono::milliseconds>(
            now.time_since_epoch() + std::chrono::hours(1)));
        return clock_reading{.steady = now + steady_offset, .wall = wall + wall_error};
    }
};

} // namespace papayafall::random_runs
