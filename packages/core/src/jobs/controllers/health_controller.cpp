#include "papayafall/core/jobs/controllers/health_controller.hpp"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>
#include <variant>

namespace papayafall::jobs {

namespace {

/// Weight of the newest run in the moving average of a worker's slowness.
constexpr double slowness_smoothing_factor = 0.3;
/// The same weight if the run was faster than that average.
constexpr double recovery_smoothing_factor = 0.6;
/// Time for which a worker is avoided after it refused a start.
constexpr duration refused_start_avoid_time = std::chrono::milliseconds(150);
/// Time for which a worker is avoided after it did not answer a start.
constexpr duration unanswered_start_avoid_time = std::chrono::milliseconds(400);

/// Health of a worker; that of a new worker if nothing is known.
worker_health known_health(const job_board& board, const worker_id& id)
{
    const worker_health* known = board.health.find(id);
    return known == nullptr ? worker_health() : *known;
}

} // namespace

health_controller::health_controller(job_board& board,
                                     std::shared_ptr<const worker_ejection_policy> ejection)
    : ejection_(std::move(ejection)), health_(board.health.claim())
{
}

void health_controller::on_event(job_board& board, const job_event& incoming,
                                 const clock_reading& now)
{
    if (const auto* it = std::get_if<run_finished>(&incoming)) {
        worker_health health = known_health(board, it->worker);
        if (it->outcome == run_outcome::failed) {
            ++health.consecutive_failures;
            update_health(board, it->worker, health, now.steady, "failed");
        } else if (it->outcome == run_outcome::done &&
                   (health.consecutive_failures > 0 || health.consecutive_stalls > 0)) {
            health.consecutive_failures = 0;
            health.consecutive_stalls = 0;
            health_.put(it->worker, health);
        }
    }
    if (const auto* it = std::get_if<run_stalled>(&incoming)) {
        worker_health health = known_health(board, it->worker);
        ++health.consecutive_stalls;
        update_health(board, it->worker, health, now.steady, "stalled");
    }
    if (const auto* it = std::get_if<run_time_measured>(&incoming)) {
        worker_health health = known_health(board, it->worker);
        const double weight =
            it->ratio < health.slowness ? recovery_smoothing_factor : slowness_smoothing_factor;
        health.slowness += weight * (it->ratio - health.slowness);
        ++health.samples;
        update_health(board, it->worker, health, now.steady, "slow");
    }
    if (const auto* it = std::get_if<start_answered>(&incoming)) {
        if (it->result == start_result::accepted) {
            return;
        }
        worker_health health = known_health(board, it->worker);
        const bool unanswered = it->result == start_result::unanswered;
        health.avoid_until =
            std::max(health.avoid_until, now.steady + (unanswered ? unanswered_start_avoid_time
                                                                  : refused_start_avoid_time));
        health_.put(it->worker, health);
    }
    if (const auto* it = std::get_if<worker_runs_terminated>(&incoming)) {
        health_.erase(it->worker);
    }
    if (const auto* it = std::get_if<worker_restarted>(&incoming)) {
        health_.erase(it->worker);
    }
}

void health_controller::on_tick(job_board& /*board*/, const clock_reading& /*now*/) {}

void health_controller::update_health(job_board& board, const worker_id& id, worker_health health,
                                      time_point now, const char* evidence)
{
    const time_point until = ejection_->avoid_until(health, now);
    if (until > now) {
        if (health.avoid_until <= now) {
            board.outbox.post(
                log_decision{"worker_avoided",
                             id.text(),
                             {{"evidence", evidence},
                              {"failures", std::to_string(health.consecutive_failures)},
                              {"stalls", std::to_string(health.consecutive_stalls)},
                              {"slowness", std::to_string(health.slowness)}}});
        }
        health.avoid_until = std::max(health.avoid_until, until);
    }
    health_.put(id, health);
}

} // namespace papayafall::jobs
