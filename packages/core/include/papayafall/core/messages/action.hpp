#pragma once

#include "papayafall/core/state/applied_change.hpp"
#include "papayafall/core/state/status_snapshot.hpp"
#include "papayafall/core/values/answer.hpp"
#include "papayafall/core/values/configuration.hpp"
#include "papayafall/core/values/host.hpp"
#include "papayafall/core/values/request.hpp"
#include "papayafall/core/values/work.hpp"

#include <variant>
#include <vector>

namespace papayafall {

// Actions are immutable: they are constructed once and never assigned, hence the const members.

/// Answer a caller of this process.
struct answer_call {
    const call_id call;
    const answer result;
};

/// Send newly issued tickets to a caller of this process.
struct issue_tickets {
    const call_id call;
    const std::vector<ticket> tickets;
};

/// Forward a request to its home.
struct forward_request {
    const peer_id peer;
    const endpoint link;
    const correlation_id correlation;
    const request content;
};

/// Forward a cancellation to its home.
struct forward_cancel {
    const peer_id peer;
    const endpoint link;
    const correlation_id correlation;
    const request_key key;
};

/// Answer a request or a cancellation that a peer forwarded.
struct answer_forward {
    const peer_origin origin;
    const answer result;
};

/// Send a task to a target.
struct start_exchange {
    const exchange_id exchange;
    const target_name target;
    const endpoint address;
    const work_item work;
    /// Instant after which the exchange ends with `no_answer`.
    const time_point deadline;
};

/// Abandon an exchange whose result is no longer needed.
struct abandon_exchange {
    const exchange_id exchange;
};

/// Delegate a task to a peer, which runs it on one of its targets.
struct delegate_work {
    const peer_id peer;
    const endpoint link;
    const exchange_id exchange;
    const work_item work;
};

/// Return the result of a task to the peer that delegated it.
struct answer_delegation {
    const peer_owner owner;
    const task_result result;
};

/// Send this host's heartbeat to peers.
struct send_heartbeat {
    const std::vector<endpoint> peers;
    const heartbeat beat;
};

/// Claim a seat at the platform, under the session of this process.
struct claim_seat {
    const seat_id seat;
};

/// Release a seat at the platform.
struct release_seat {
    const seat_id seat;
};

/// Start or stop watching the configuration at the platform.
struct watch_configuration {
    const bool enabled;
};

/// Fetch the configuration from a peer that has a higher revision.
struct fetch_configuration {
    const peer_id peer;
    const endpoint link;
};

/// Report that a configuration was applied on this host.
struct configuration_applied {
    const configuration content;
    const applied_change change;
};

/// Publish the state of this process to operators, health checks and metrics.
struct publish_status {
    const status_snapshot status;
};

/// Stop the process: after a shutdown request all work has ended or the deadline has passed.
struct stop_process {};

/// Everything that the core asks the surrounding process to do.
using action =
    std::variant<answer_call, issue_tickets, forward_request, forward_cancel, answer_forward,
                 start_exchange, abandon_exchange, delegate_work, answer_delegation, send_heartbeat,
                 claim_seat, release_seat, watch_configuration, fetch_configuration,
                 configuration_applied, publish_status, stop_process>;

} // namespace papayafall
