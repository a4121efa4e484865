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

/// One incarnation of a peer.
struct peer_id {
    host_name host;
    incarnation_id incarnation;

    auto operator<=>(const peer_id&) const = default;
};

/// A caller of this process waits for the answer.
struct local_origin {
    call_id call;

    auto operator<=>(const local_origin&) const = default;
};

/// A peer that forwarded the request waits for the answer.
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
    /// Whether the task may be tried again once a byte of it may have reached a target: only the
    /// task of an idempotent single request without a key may, never a task of a job.
    bool retryable = false;

    auto operator<=>(const work_item_fields&) const = default;
};

/// One task as a dispatcher sees it: all that is needed to run it somewhere.
using work_item = value<work_item_fields>;

/// A task of a submission that this process homes.
struct home_owner {
    submission_id submission;
    std::uint32_t index = 0;

    auto operator<=>(const home_owner&) const = default;
};

/// A task that a peer delegated to this process.
struct peer_owner {
    peer_id peer;
    exchange_id exchange; ///< the peer's number of the attempt

    auto operator<=>(const peer_owner&) const = default;
};

/// Whoever has to learn the result of a task; unique for each task in one process.
using work_owner = std::variant<home_owner, peer_owner>;

/// The target refused before running anything.
struct target_refused {
    bool leaving = false; ///< it will accept nothing any more

    auto operator<=>(const target_refused&) const = default;
};

/// No byte of the task was written; the connection could not be used.
struct not_sent {
    auto operator<=>(const not_sent&) const = default;
};

/// The connection broke after a byte may have been written.
struct connection_lost {
    auto operator<=>(const connection_lost&) const = default;
};

/// No answer came before the deadline of the exchange.
struct no_answer {
    auto operator<=>(const no_answer&) const = default;
};

/// How an attempt to run a task ended, from a target or from a peer (`failure`).
using exchange_outcome =
    std::variant<task_answer, target_refused, not_sent, connection_lost, no_answer, failure>;

} // namespace papayafall
