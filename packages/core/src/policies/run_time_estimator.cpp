#include "papayafall/core/policies/run_time_estimator.hpp"

#include "papayafall/core/blackboard/blackboard.hpp"

#include <algorithm>

namespace papayafall {

namespace {

/// Expected run time of a task without a declared run time and without observations.
constexpr duration default_run_time = std::chrono::milliseconds(100);
/// Weight of the observations from which the declared run time is ignored and quantiles are used.
constexpr float min_observation_weight = 20;
/// Weight of the declared run time, counted in observations.
constexpr float prior_weight = 1;
constexpr float low_quantile_level = 0.1F;
constexpr float high_quantile_level = 0.95F;
/// Factor from a declared run time to its high quantile, because declarations are often far off.
constexpr int declared_run_time_margin = 3;

duration prior_run_time(const work_item& work)
{
    return work->declared_run_time.value_or(default_run_time);
}

duration weighted_mean(duration observed, float weight, duration declared)
{
    const float sum = static_cast<float>(observed.count()) * weight +
                      static_cast<float>(declared.count()) * prior_weight;
    return duration(static_cast<duration::rep>(sum / (weight + prior_weight)));
}

/// Returns a quantile of the observed run times, or zero if there are too few observations.
duration observed_quantile(const work_item& work, const blackboard& board, float share)
{
    const run_time_estimate* observed = board.run_times.find(work->service);
    if (observed == nullptr || observed->weight() < min_observation_weight) {
        return duration{};
    }
    return observed->quantile(share);
}

} // namespace

duration declared_run_time::expected(const work_item& work, const blackboard& /*board*/) const
{
    return prior_run_time(work);
}

duration declared_run_time::low_quantile(const work_item& /*work*/,
                                         const blackboard& /*board*/) const
{
    return duration{};
}

duration declared_run_time::high_quantile(const work_item& work, const blackboard& /*board*/) const
{
    return prior_run_time(work) * declared_run_time_margin;
}

duration observed_run_time::expected(const work_item& work, const blackboard& board) const
{
    const run_time_estimate* observed = board.run_times.find(work->service);
    if (observed == nullptr) {
        return prior_run_time(work);
    }
    if (observed->weight() >= min_observation_weight) {
        return observed->mean();
    }
    return weighted_mean(observed->mean(), observed->weight(), prior_run_time(work));
}

duration observed_run_time::low_quantile(const work_item& work, const blackboard& board) const
{
    return observed_quantile(work, board, low_quantile_level);
}

duration observed_run_time::high_quantile(const work_item& work, const blackboard& board) const
{
    return observed_quantile(work, board, high_quantile_level);
}

} // namespace papayafall
