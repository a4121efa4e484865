#include "papayafall/core/jobs/controllers/lifecycle_controller.hpp"

#include <chrono>
#include <variant>

namespace papayafall::jobs {

namespace {

/// Time until the load balancer has noticed that the host is not ready: two of its checks and a
/// margin.
constexpr duration balancer_detection_time = std::chrono::milliseconds(2300);

} // namespace

job_lifecycle_controller::job_lifecycle_controller(job_board& board)
    : state_(board.lifecycle.claim()), published_readiness_(board.published_readiness.claim())
{
}

void job_lifecycle_controller::on_event(job_board& board, const job_event& incoming,
                                        const clock_reading& now)
{
    lifecycle_state state = *board.lifecycle;
    if (std::holds_alternative<store_reached>(incoming)) {
        state.store_reachable = true;
        state.store_reached_at = now.steady;
        state_.put(state);
        board.outbox.post(log_decision{"store_reached", "store", {}});
    } else if (std::holds_alternative<store_lost>(incoming)) {
        state.store_reachable = false;
        state_.put(state);
        board.outbox.post(log_decision{"store_lost", "store", {}});
    }
    if (const auto* it = std::get_if<stop_requested>(&incoming)) {
        begin_leaving(board, it->stop_by, now.steady);
    }
}

void job_lifecycle_controller::on_tick(job_board& board, const clock_reading& now)
{
    lifecycle_state state = *board.lifecycle;
    const bool ready = (*board.configuration)->version > 0 && !state.leaving;
    if (ready != *board.published_readiness) {
        published_readiness_.put(ready);
        board.outbox.post(set_readiness{ready});
    }
    if (!state.leaving || state.stopped) {
        return;
    }
    const bool idle = board.calls.empty() && board.jobs.empty() && board.sessions.empty();
    const bool seen_by_balancer = now.steady >= state.leaving_since + balancer_detection_time;
    if ((idle && seen_by_balancer) || now.steady >= state.stop_by) {
        state.stopped = true;
        state_.put(state);
        board.raised.post(process_stopping{});
        board.outbox.post(log_decision{"stopping", "process", {{"idle", idle ? "1" : "0"}}});
        board.outbox.post(stop_dispatcher{});
    }
}

void job_lifecycle_controller::begin_leaving(job_board& board, time_point stop_by, time_point now)
{
    lifecycle_state state = *board.lifecycle;
    if (state.leaving) {
        return;
    }
    state.leaving = true;
    state.leaving_since = now;
    state.stop_by = stop_by;
    state_.put(state);
    board.outbox.post(update_host_entry{.leaving = true});
    board.outbox.post(log_decision{"leaving", "process", {}});
}

} // namespace papayafall::jobs
