#include "papayafall/core/jobs/controllers/dispatch_controller.hpp"

#include "papayafall/core/jobs/controllers/speed_controller.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace papayafall::jobs {

namespace {

/// Weight of the newest run in the moving average of a queue's run times.
constexpr double run_time_smoothing_factor = 0.05;
/// Bounds of one sample of that average: measured over declared run time.
constexpr double min_run_time_ratio = 0.2;
constexpr double max_run_time_ratio = 5;

} // namespace

void dispatch_controller::record_run_time(job_board& board, const run_state& run, time_point now)
{
    const job_state job = *board.jobs.find(run.task.job);
    const job_step& step = job->order->job->steps[run.task.step];
    const queue_name& queue = job->order->queue;
    const duration measured = now - run.start_sent_at;
    const auto taken = static_cast<double>(measured.count());
    const auto declared =
        static_cast<double>(std::max<std::int64_t>(step.estimated_run_time.count(), 1));
    const double ratio = std::clamp(taken / declared, min_run_time_ratio, max_run_time_ratio);
    const queue_statistics* known = board.run_time_statistics.find(queue);
    queue_statistics next = known == nullptr ? queue_statistics() : *known;
    const worker* entry = board.workers.find(run.worker);
    const double similar =
        entry == nullptr ? 1 : slowness_of_similar_workers(board, **entry).slowness();
    const double relative_ratio =
        std::clamp(ratio / similar, min_run_time_ratio, max_run_time_ratio);
    board.raised.post(run_time_measured{.worker = run.worker,
                                        .ratio = relative_ratio / next.relative_factor,
                                        .measured = measured,
                                        .declared = step.estimated_run_time});
    next.relative_factor += run_time_smoothing_factor * (relative_ratio - next.relative_factor);
    next.run_time_factor += run_time_smoothing_factor * (ratio - next.run_time_factor);
    run_time_statistics_.put(queue, next);
}

duration dispatch_controller::expected_run_time(const job_board& board, const queue_name& queue,
                                                const job_step& step) const
{
    const queue_statistics* known = board.run_time_statistics.find(queue);
    const double factor = known == nullptr ? 1 : known->run_time_factor;
    return std::chrono::duration_cast<duration>(step.estimated_run_time * factor);
}

} // namespace papayafall::jobs
