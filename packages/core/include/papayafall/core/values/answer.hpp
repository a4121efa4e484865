#pragma once

#include "papayafall/core/errors/error_id.hpp"
#include "papayafall/core/values/bytes.hpp"
#include "papayafall/core/values/time.hpp"
#include "papayafall/core/values/value.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace papayafall {

/// Whether the work of a failed request or task ran.
enum class run_state : std::uint8_t {
    not_run, ///< no part of the work was run
    ran,     ///< the work, or a part of it, ran
    unknown, ///< the work may have run
};

/// Returns the name of `state` in answers to callers: "not_run", "ran" or "unknown".
std::string_view to_string(run_state state) noexcept;

/// Why a request or a task failed.
struct failure {
    error_id id = error_id::overloaded;
    run_state run = run_state::not_run;
    std::string detail; ///< message for the caller
    /// Earliest instant at which a retry can succeed; `no_deadline` if it is not known.
    time_point retry_at = no_deadline;

    auto operator<=>(const failure&) const = default;
};

/// Answer of a target to one task that ran.
struct task_answer {
    std::uint16_t status = 0; ///< HTTP status
    bytes body;

    auto operator<=>(const task_answer&) const = default;
};

/// Result of one task.
using task_result = std::variant<task_answer, failure>;

struct completion_fields {
    std::vector<task_answer> answers; ///< one per task, in the order of the request

    auto operator<=>(const completion_fields&) const = default;
};

/// Complete answer to a request of which all tasks ran.
using completion = value<completion_fields>;

/// Answer to a request: complete or failed, never partial.
using answer = std::variant<completion, failure>;

} // namespace papayafall
