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

// Actions are constructed once and never assigned, so that their members are const.

/// Answer a caller of this process.
struct answer_call {
    const call_id call;
    const answer result;
};

/// Give tickets to a caller of this process.
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

/// Give up an exchange; its result is not wanted any more.
struct abandon_exchange {
    const exchange_id exchange;
};

/// Have a peer run a task on its targets.
struct delegate_work {
    const peer_id peer;
    const endpoint link;
    const exchange_id exchange;
    const work_item work;
};

/// Tell a peer the result of a task that it delegated.
struct answer_delegation {
    const peer_owner owner;
    const task_result result;
};

/// Send this host's state to peers.
struct send_heartbeat {
    const std::vector<endpoint> peers;
    const heartbeat beat;
};

/// Claim a seat in the platform's service under this process's session.
struct claim_seat {
    const seat_id seat;
};

/// Give a seat back to the platform's service.
struct release_seat {
    const seat_id seat;
};

/// Start or stop watching the configuration in the platform's service.
struct watch_configuration {
    const bool enabled;
};

/// Read the configuration from a peer that has a higher revision.
struct fetch_configuration {
    const peer_id peer;
    const endpoint link;
};

/// A configuration came into force on this host.
struct configuration_applied {
    const configuration content;
    const applied_change change;
};

/// Show the state of this process to operators, health checks and metrics.
struct publish_status {
    const status_snapshot status;
};

/// All work has ended after a shutdown request; the process may exit.
struct stop_process {};

/// Everything that the core asks of the process around it.
using action =
    std::variant<answer_call, issue_tickets, forward_request, forward_cancel, answer_forward,
                 start_exchange, abandon_exchange, delegate_work, answer_delegation, send_heartbeat,
                 claim_seat, release_seat, watch_configuration, fetch_configuration,
                 configuration_applied, publish_status, stop_process>;

} // namespace papayafall
