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

/// What is known about the work behind a failure.
enum class run_state : std::uint8_t {
    not_run, ///< no byte of the work reached a target
    ran,     ///< the work, or a part of it, ran
    unknown, ///< the work may have run
};

/// Name of `state` as callers see it: "not_run", "ran" or "unknown".
std::string_view to_string(run_state state) noexcept;

/// Why a request or a task failed.
struct failure {
    error_id id = error_id::overloaded;
    run_state run = run_state::not_run;
    std::string detail;
    /// Earliest instant at which another try can succeed; `no_deadline` where none is known.
    time_point retry_at = no_deadline;

    auto operator<=>(const failure&) const = default;
};

/// What a target returned for one task that ran.
struct task_answer {
    std::uint16_t status = 0; ///< HTTP status
    bytes body;

    auto operator<=>(const task_answer&) const = default;
};

/// Result of one task.
using task_result = std::variant<task_answer, failure>;

struct completion_fields {
    std::vector<task_answer> answers; ///< one for each task, in the order of the request

    auto operator<=>(const completion_fields&) const = default;
};

/// The whole answer to a request all of whose tasks ran.
using completion = value<completion_fields>;

/// The answer to a request: complete or failed, never partial.
using answer = std::variant<completion, failure>;

} // namespace papayafall
