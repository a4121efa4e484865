#include "papayafall/core/jobs/controllers/speed_controller.hpp"

#include <algorithm>
#include <chrono>
#include <string>
#include <variant>
#include <vector>

namespace papayafall::jobs {

namespace {

constexpr duration speed_review_period = std::chrono::seconds(30);
/// Number of runs from which the estimate of a label is used.
constexpr std::uint32_t min_label_samples = 8;
/// Key of the estimate over all workers, which no label has.
const label_name all_workers;

const slowness_estimate* label_estimate(const job_board& board, const label_name& label)
{
    const slowness_estimate* found = board.label_slowness.find(label);
    return found != nullptr && found->samples >= min_label_samples ? found : nullptr;
}

} // namespace

slowness_estimate slowness_of_similar_workers(const job_board& board, const worker_fields& it)
{
    const slowness_estimate* best = label_estimate(board, all_workers);
    for (const label_name& label : it.labels) {
        const slowness_estimate* found = label_estimate(board, label);
        if (found != nullptr && (best == nullptr || found->deviation < best->deviation)) {
            best = found;
        }
    }
    return best == nullptr ? slowness_estimate() : *best;
}

double slowness_of(const job_board& board, const worker_fields& it)
{
    const slowness_estimate* known = board.worker_slowness.find(it.id);
    return known == nullptr ? slowness_of_similar_workers(board, it).slowness() : known->slowness();
}

double least_slowness(const job_board& board)
{
    double least = slowness_of_similar_workers(board, {}).slowness();
    for (const auto& it : board.label_slowness) {
        if (it.value.samples >= min_label_samples) {
            least = std::min(least, it.value.slowness());
        }
    }
    return least;
}

duration expected_run_time_at(double slowness, duration declared)
{
    return run_call_overhead + std::chrono::duration_cast<duration>(declared * slowness);
}

speed_controller::speed_controller(job_board& board)
    : worker_slowness_(board.worker_slowness.claim()),
      label_slowness_(board.label_slowness.claim()),
      speed_review_due_(board.speed_review_due.claim())
{
}

void speed_controller::on_event(job_board& board, const job_event& incoming,
                                const clock_reading& /*now*/)
{
    if (const auto* it = std::get_if<run_time_measured>(&incoming)) {
        record_run(board, *it);
    }
    if (const auto* it = std::get_if<worker_restarted>(&incoming)) {
        worker_slowness_.erase(it->worker);
    }
}

void speed_controller::on_tick(job_board& board, const clock_reading& now)
{
    if (now.steady < *board.speed_review_due) {
        return;
    }
    speed_review_due_.put(now.steady + speed_review_period);
    forget_unlisted(board);
    for (const auto& it : board.label_slowness) {
        board.outbox.post(log_decision{"speed_learned",
                                       it.key.empty() ? "all" : it.key.text(),
                                       {{"slowness", std::to_string(it.value.slowness())},
                                        {"deviation", std::to_string(it.value.deviation)},
                                        {"runs", std::to_string(it.value.samples)}}});
    }
}

void speed_controller::record_run(job_board& board, const run_time_measured& it)
{
    const worker* entry = board.workers.find(it.worker);
    if (entry == nullptr) {
        return;
    }
    const double log_slowness = log_slowness_of(it.measured, it.declared);
    const slowness_estimate* known = board.worker_slowness.find(it.worker);
    const slowness_estimate before =
        known == nullptr ? first_estimate(slowness_of_similar_workers(board, **entry)) : *known;
    worker_slowness_.put(it.worker, updated_worker(before, log_slowness));
    std::vector<label_name> groups = (*entry)->labels;
    groups.push_back(all_workers);
    for (const label_name& label : groups) {
        const slowness_estimate* group = board.label_slowness.find(label);
        label_slowness_.put(
            label, updated_group(group == nullptr ? slowness_estimate() : *group, log_slowness));
    }
}

void speed_controller::forget_unlisted(job_board& board)
{
    std::vector<worker_id> gone;
    for (const auto& it : board.worker_slowness) {
        if (!board.workers.contains(it.key)) {
            gone.push_back(it.key);
        }
    }
    for (const worker_id& it : gone) {
        worker_slowness_.erase(it);
    }
}

} // namespace papayafall::jobs
