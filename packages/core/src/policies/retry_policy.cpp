#include "papayafall/core/policies/retry_policy.hpp"

#include "papayafall/core/blackboard/blackboard.hpp"

#include <variant>

namespace papayafall {

namespace {

/// Lowest HTTP status that reports a failure of the target rather than of the request (5xx).
constexpr std::uint16_t first_server_error = 500;

/// Visitor that returns what an outcome says about whether the task ran.
struct outcome_run_state {
    run_state operator()(const target_refused& /*it*/) const { return run_state::not_run; }

    run_state operator()(const not_sent& /*it*/) const { return run_state::not_run; }

    run_state operator()(const connection_lost& /*it*/) const { return run_state::unknown; }

    run_state operator()(const no_answer& /*it*/) const { return run_state::unknown; }

    run_state operator()(const failure& it) const { return it.run; }

    run_state operator()(const task_answer& /*it*/) const { return run_state::ran; }
};

bool has_failed(const exchange_outcome& outcome)
{
    const auto* result = std::get_if<task_answer>(&outcome);
    return result == nullptr || result->status >= first_server_error;
}

} // namespace

bool no_retry::may_retry(const exchange_state& /*attempt*/, const exchange_outcome& /*outcome*/,
                         const blackboard& /*board*/, const clock_reading& /*now*/) const
{
    return false;
}

budgeted_retry::budgeted_retry(std::uint32_t max_attempts) : max_attempts_(max_attempts) {}

bool budgeted_retry::may_retry(const exchange_state& attempt, const exchange_outcome& outcome,
                               const blackboard& board, const clock_reading& now) const
{
    if (attempt->abandoned || !has_failed(outcome)) {
        return false;
    }
    if (attempt->attempts >= max_attempts_ || attempt->work->deadline <= now.steady) {
        return false;
    }
    const bool not_run = std::visit(outcome_run_state{}, outcome) == run_state::not_run;
    if (!not_run && !(attempt->work->retryable && attempt->work->idempotent)) {
        return false;
    }
    const bool exempt_from_budget = not_run && attempt->attempts == 1;
    return exempt_from_budget || board.available_retries->allows_retry();
}

} // namespace papayafall
