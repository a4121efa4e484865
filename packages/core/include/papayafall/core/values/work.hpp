#pragma once

#include "papayafall/core/values/answer.hpp"
#include "papayafall/core/values/host.hpp"
#include "papayafall/core/values/identifiers.hpp"
#include "papayafall/core/values/request.hpp"
#include "papayafall/core/values/time.hpp"
#include "papayafall/core/values/value.hpp"

#include <cstdint>
#include <optional>
#include <variant>

namespace papayafall {

/// Identifies one incarnation of a peer.
struct peer_id {
    host_name host;
    incarnation_id incarnation;

    auto operator<=>(const peer_id&) const = default;
};

/// The answer goes to a caller of this process.
struct local_origin {
    call_id call;

    auto operator<=>(const local_origin&) const = default;
};

/// The answer goes to the peer that forwarded the request.
struct peer_origin {
    peer_id peer;
    correlation_id correlation;

    auto operator<=>(const peer_origin&) const = default;
};

/// Who waits for the answer to a request.
using request_origin = std::variant<local_origin, peer_origin>;

struct work_item_fields {
    service_name service;
    team_name team;
    urgency_level urgency = default_urgency;
    bool idempotent = false;
    bytes body;
    std::optional<duration> declared_run_time;
    time_point deadline = no_deadline;
    /// Whether the task may be retried after a part of it may have reached a target. This holds
    /// only for the task of an idempotent single request without a key, never for a task of a job.
    bool retryable = false;

    auto operator<=>(const work_item_fields&) const = default;
};

/// One task with all that is needed to run it, at a target of this host or through a peer.
using work_item = value<work_item_fields>;

/// A task of a submission of which this process is the home.
struct home_owner {
    submission_id submission;
    std::uint32_t index = 0; ///< position of the task in the request

    auto operator<=>(const home_owner&) const = default;
};

/// A task that a peer delegated to this process.
struct peer_owner {
    peer_id peer;
    exchange_id exchange; ///< identifies the attempt at the peer

    auto operator<=>(const peer_owner&) const = default;
};

/// Who gets the result of a task; unique for each task in one process.
using work_owner = std::variant<home_owner, peer_owner>;

/// The target refused the task without running any part of it.
struct target_refused {
    bool leaving = false; ///< whether the target accepts no new tasks

    auto operator<=>(const target_refused&) const = default;
};

/// The connection could not be used; no part of the task was sent.
struct not_sent {
    auto operator<=>(const not_sent&) const = default;
};

/// The connection was lost after a part of the task may have been sent.
struct connection_lost {
    auto operator<=>(const connection_lost&) const = default;
};

/// No answer arrived before the deadline of the exchange.
struct no_answer {
    auto operator<=>(const no_answer&) const = default;
};

/// How an attempt to run a task ended. A `failure` concerns a task that was delegated to a peer.
using exchange_outcome =
    std::variant<task_answer, target_refused, not_sent, connection_lost, no_answer, failure>;

} // namespace papayafall
