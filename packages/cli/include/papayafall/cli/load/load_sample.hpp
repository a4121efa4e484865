#pragma once

#include "papayafall/cli/load/planned_request.hpp"
#include "papayafall/core/values/time.hpp"

#include <cstdint>

namespace papayafall {

/// How a request of a load run ended.
enum class load_outcome : std::uint8_t {
    in_time,       ///< the whole answer to this request, before its time limit
    late,          ///< the whole answer to this request, after its time limit
    refused_early, ///< not run, answered within `early_refusal_share` of the time limit
    refused_late,  ///< not run, answered later
    cancelled,     ///< cancelled by the run itself
    failed,        ///< ran and failed
    unknown,       ///< may have run, or no answer came
    unreachable,   ///< the entry host did not get the request
    wrong_answer,  ///< not whole, or the answer to another request
};

/// Share of its time limit within which a refusal counts as early.
inline constexpr double early_refusal_share = 0.1;

/// What was sent of a request.
enum class load_send_kind : std::uint8_t { first, resubmission, cancellation };

/// One ended sending of a load run.
struct load_sample {
    planned_request request;
    load_send_kind kind = load_send_kind::first;
    load_outcome outcome = load_outcome::unknown;
    duration response_time{}; ///< from the planned instant to the answer
    duration send_lag{};      ///< from the planned instant to the sending

    auto operator<=>(const load_sample&) const = default;
};

} // namespace papayafall
