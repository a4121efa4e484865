#pragma once

#include "papayafall/cli/load/planned_request.hpp"
#include "papayafall/core/values/time.hpp"

#include <cstdint>

namespace papayafall {

/// Result of one send of a load run.
enum class load_outcome : std::uint8_t {
    in_time,       ///< complete answer to this request within its time limit
    late,          ///< complete answer to this request after its time limit
    refused_early, ///< not run, answered within `early_refusal_share` of the time limit
    refused_late,  ///< not run, answered after that
    cancelled,     ///< cancelled by the load run itself
    failed,        ///< the task ran and failed
    unknown,       ///< the task may have run, or no answer arrived
    unreachable,   ///< the request was not sent to the entry host
    wrong_answer,  ///< incomplete, or the answer to another request
};

/// Share of the time limit of a request within which a refusal counts as early.
inline constexpr double early_refusal_share = 0.1;

/// What a send of a request transmits: the submission, the same submission again, or its
/// cancellation.
enum class load_send_kind : std::uint8_t { first, resubmission, cancellation };

/// One completed send of a load run.
struct load_sample {
    planned_request request;
    load_send_kind kind = load_send_kind::first;
    load_outcome outcome = load_outcome::unknown;
    duration response_time{}; ///< from the planned instant to the answer
    duration send_lag{};      ///< from the planned instant to the actual send

    auto operator<=>(const load_sample&) const = default;
};

} // namespace papayafall
