#pragma once

#include "papayafall/core/values/value.hpp"
#include "papayafall/core/values/work.hpp"

#include <cstdint>
#include <optional>
#include <variant>

namespace papayafall {

/// Position in the queue; the task with the lowest rank starts first. Made by a `queue_order`.
struct queue_rank {
    std::uint8_t lane = 0; ///< 0: short work, 1: long work
    std::uint8_t urgency = 0;
    std::uint64_t virtual_time_steps = 0; ///< virtual time of the team, in `virtual_time_step`
    time_point start_by = no_deadline;    ///< as in `queued_work`
    std::uint64_t sequence = 0;           ///< arrival number, which makes the rank unique

    auto operator<=>(const queue_rank&) const = default;
};

struct queued_work_fields {
    work_owner owner;
    work_item item;
    std::uint32_t attempts = 0; ///< attempts that have ended
    /// Whether an earlier attempt may have run the task.
    bool may_have_run = false;
    /// Run time that was expected when the task was queued first.
    duration expected_run_time{};
    /// Instant by which the task has to start to be likely to meet its deadline.
    time_point start_by = no_deadline;

    auto operator<=>(const queued_work_fields&) const = default;
};

/// A task that waits for a slot.
using queued_work = value<queued_work_fields>;

/// Where the task of an exchange is sent: to a target of this host or to a peer.
using exchange_destination = std::variant<target_name, peer_id>;

struct exchange_state_fields {
    work_owner owner;
    work_item work;
    exchange_destination destination;
    std::uint32_t attempts = 0; ///< including this one
    bool may_have_run = false;  ///< whether an earlier attempt may have run the task
    time_point started_at{};
    duration expected_run_time{};
    /// Whether the exchange counts as long work; see `slot_policy::counts_as_long_from`.
    bool long_running = false;
    /// Whether the owner has stopped waiting for the result.
    bool abandoned = false;

    auto operator<=>(const exchange_state_fields&) const = default;
};

/// One attempt to run a task, in progress at a target or through a peer.
using exchange_state = value<exchange_state_fields>;

/// Number of slots of one target that this host uses.
struct slot_usage {
    std::uint32_t short_running = 0;
    std::uint32_t long_running = 0;

    std::uint32_t total() const noexcept { return short_running + long_running; }

    auto operator<=>(const slot_usage&) const = default;
};

} // namespace papayafall
