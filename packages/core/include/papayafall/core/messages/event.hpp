#pragma once

#include "papayafall/core/values/answer.hpp"
#include "papayafall/core/values/change_origin.hpp"
#include "papayafall/core/values/configuration.hpp"
#include "papayafall/core/values/host.hpp"
#include "papayafall/core/values/request.hpp"
#include "papayafall/core/values/work.hpp"

#include <optional>
#include <variant>

namespace papayafall {

// Events are immutable: they are constructed once and never assigned, hence the const members.

/// A caller sent a request to this process.
struct request_received {
    const call_id call;
    const request content;
};

/// A caller closed its connection before it was answered.
struct call_closed {
    const call_id call;
};

/// A caller or a peer asked to cancel a submission.
struct cancel_received {
    const request_origin origin;
    const request_key key;
};

/// A caller asked for tickets.
struct tickets_requested {
    const call_id call;
    const std::uint32_t count = 1;
};

/// A peer forwarded a request to this process, which it regards as the home of the request.
struct forward_received {
    const peer_origin origin;
    const request content;
};

/// The home answered a request that this process forwarded.
struct forward_answered {
    const correlation_id correlation;
    const answer result;
};

/// A request could not be forwarded, or the link was lost before its answer came.
struct forward_failed {
    const correlation_id correlation;
    const bool may_have_arrived = true;
};

/// A peer delegated one task to this process's targets.
struct delegation_received {
    const peer_owner owner;
    const work_item work;
};

/// A peer no longer needs the result of a task that it delegated.
struct delegation_cancelled {
    const peer_owner owner;
};

/// An attempt to run a task, at a target or through a peer, ended.
struct exchange_finished {
    const exchange_id exchange;
    const exchange_outcome outcome;
};

/// A peer's heartbeat arrived.
struct heartbeat_received {
    const heartbeat beat;
};

/// The host list was read from the platform.
struct host_list_received {
    const host_list_snapshot hosts;
};

/// A configuration was read from the platform or from a peer.
struct configuration_received {
    const configuration content;
    /// Empty if the source does not name it.
    const std::optional<change_origin> origin = std::nullopt;
};

/// The platform confirmed the session under which this process holds seats. When a session has
/// ended, `session_lost` is delivered before the confirmation of the next session.
struct session_confirmed {
    const time_point lease_until; ///< measured from before the confirming call was sent
};

/// The session was ended by the platform or was never opened.
struct session_lost {};

/// The platform granted a seat to this process.
struct seat_granted {
    const seat_id seat;
    /// An earlier holder may have started tasks whose keys were created before this time; empty if
    /// there was no earlier holder.
    const std::optional<wall_time> inherited_at;
    /// Number of the acquisition at the platform, which increases by one each time a session gets
    /// the seat; zero if the platform does not count acquisitions.
    const std::uint64_t generation = 0;
};

/// Another process holds the seat.
struct seat_refused {
    const seat_id seat;
};

/// The process was asked to shut down gracefully.
struct shutdown_requested {
    const time_point deadline; ///< instant at which the process stops in any case
};

// Events that controllers raise for other controllers.

/// A submission was accepted at its home; its tasks have to be queued.
struct submission_accepted {
    const submission_id submission;
    const request content;
};

/// A submission was answered, was cancelled or failed; its remaining tasks are not needed.
struct submission_closed {
    const submission_id submission;
};

/// The result of a task is known.
struct work_finished {
    const work_owner owner;
    const task_result result;
};

/// The stage, usable slots, speed or owner of a target changed, or it was added or removed.
struct target_changed {
    const target_name target;
};

/// Everything that the core reacts to.
using event = std::variant<request_received, call_closed, cancel_received, tickets_requested,
                           forward_received, forward_answered, forward_failed, delegation_received,
                           exchange_finished, heartbeat_received, host_list_received,
                           configuration_received, session_confirmed, session_lost, seat_granted,
                           seat_refused, shutdown_requested, submission_accepted, submission_closed,
                           work_finished, target_changed, delegation_cancelled>;

} // namespace papayafall
