#pragma once

#include "papayafall/core/engine/standard_engine.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace papayafall::test_support {

/// Test fixture with the engine of host `entry-1` in `zone-a` and a simulated clock. Requests are
/// for the service `quote` and the team `desk`. The invariants of the blackboard are checked after
/// each event.
class engine_fixture {
  public:
    explicit engine_fixture(const policy_set& policies = standard_policies())
        : engine_(make_engine(self_state(self_state_fields{.host = host_name("entry-1"),
                                                           .zone = zone_name("zone-a")}),
                              core_parameters(), policies))
    {
    }

    const blackboard& board() const { return engine_->board(); }

    clock_reading now() const { return {now_, wall_time{}}; }

    /// Handles one event at the current time.
    void deliver(const event& it)
    {
        engine_->handle(it, now());
        board().check_invariants();
    }

    /// Advances the clock in steps of 50 ms and ticks the engine at each step.
    void advance_time(duration elapsed)
    {
        constexpr duration step = std::chrono::milliseconds(50);
        for (const time_point end = now_ + elapsed; now_ < end;) {
            now_ += step;
            engine_->tick(now());
        }
        board().check_invariants();
    }

    /// Delivers a configuration in which the service `quote` is configured as `service`.
    void configure(const service_configuration& service)
    {
        configuration_fields fields{.revision = revision_id(++last_revision_)};
        fields.services[service_name("quote")] = service;
        fields.teams[team_name("desk")] = team_configuration{.slot_quota = 8};
        deliver(configuration_received{fields});
    }

    /// Returns the entry of the target `target-<number>` in `zone-a`, with four slots.
    static target_entry make_target_entry(int number, bool leaving = false)
    {
        return {.name = target_name("target-" + std::to_string(number)),
                .zone = zone_name("zone-a"),
                .address = {},
                .slots = 4,
                .leaving = leaving};
    }

    /// Delivers a host list with these targets.
    void deliver_host_list(const std::vector<target_entry>& targets)
    {
        deliver(host_list_received{host_list_snapshot(host_list_fields{.targets = targets})});
    }

    /// Delivers a host list with the targets 0 to `targets` - 1.
    void deliver_host_list(int targets)
    {
        std::vector<target_entry> entries;
        entries.reserve(static_cast<std::size_t>(targets));
        for (int n = 0; n < targets; ++n) {
            entries.push_back(make_target_entry(n));
        }
        deliver_host_list(entries);
    }

    /// Delivers a heartbeat of the peer `host` in `zone-a`, with the next sequence number.
    void deliver_heartbeat(const std::string& host, heartbeat_fields fields = {})
    {
        fields.host = host_name(host);
        fields.zone = zone_name("zone-a");
        fields.sequence = ++last_heartbeat_sequence_;
        deliver(heartbeat_received{fields});
    }

    /// Submits a request without a key.
    /// @param tasks      number of tasks of the request
    /// @param time_limit time from now to the deadline
    void submit_request(std::size_t tasks = 1, duration time_limit = std::chrono::seconds(10),
                        std::optional<urgency_level> urgency = std::nullopt)
    {
        deliver(request_received{call_id(++last_call_),
                                 request(request_fields{.service = service_name("quote"),
                                                        .team = team_name("desk"),
                                                        .tasks = std::vector<task>(tasks),
                                                        .deadline = now_ + time_limit,
                                                        .urgency = urgency})});
    }

    /// Removes all pending actions and returns those of type `Action`.
    template <typename Action>
    std::vector<Action> take_actions()
    {
        std::vector<Action> matching;
        for (const action& it : engine_->take_actions()) {
            if (const auto* found = std::get_if<Action>(&it)) {
                matching.push_back(*found);
            }
        }
        return matching;
    }

    /// Returns the state of the target `target-<number>`.
    const target_state& target(int number) const
    {
        return *board().targets.find(target_name("target-" + std::to_string(number)));
    }

  private:
    std::unique_ptr<engine> engine_;
    time_point now_{std::chrono::seconds(1)};
    std::uint64_t last_revision_ = 0;
    std::uint64_t last_heartbeat_sequence_ = 0;
    std::uint64_t last_call_ = 0;
};

} // namespace papayafall::test_support
