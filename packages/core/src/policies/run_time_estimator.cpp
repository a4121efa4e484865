#include "papayafall/core/policies/run_time_estimator.hpp"

#include "papayafall/core/blackboard/blackboard.hpp"

#include <algorithm>

namespace papayafall {

namespace {

constexpr duration default_run_time = std::chrono::milliseconds(100);
/// Observations from which on the declared run time is not looked at any more.
constexpr float enough_observations = 20;
/// Observations that a declared run time weighs as much as.
constexpr float weight_of_prior = 1;
constexpr float low = 0.1F;
constexpr float high = 0.95F;
/// A declared run time is far off: the high quantile allows for this factor.
constexpr int declared_margin = 3;

duration prior(const work_item& work)
{
    return work->declared_run_time.value_or(default_run_time);
}

duration weighted(duration observed, float weight, duration declared)
{
    const float sum = static_cast<float>(observed.count()) * weight +
                      static_cast<float>(declared.count()) * weight_of_prior;
    return duration(static_cast<duration::rep>(sum / (weight + weight_of_prior)));
}

/// Quantile of the observed run times, or zero where there are too few of them.
duration proven_quantile(const work_item& work, const blackboard& board, float share)
{
    const run_time_estimate* observed = board.run_times.find(work->service);
    if (observed == nullptr || observed->weight() < enough_observations) {
        return duration{};
    }
    return observed->quantile(share);
}

} // namespace

duration declared_run_time::expected(const work_item& work, const blackboard& /*board*/) const
{
    return prior(work);
}

duration declared_run_time::low_quantile(const work_item& /*work*/,
                                         const blackboard& /*board*/) const
{
    return duration{};
}

duration declared_run_time::high_quantile(const work_item& work, const blackboard& /*board*/) const
{
    return prior(work) * declared_margin;
}

duration observed_run_time::expected(const work_item& work, const blackboard& board) const
{
    const run_time_estimate* observed = board.run_times.find(work->service);
    if (observed == nullptr) {
        return prior(work);
    }
    if (observed->weight() >= enough_observations) {
        return observed->mean();
    }
    return weighted(observed->mean(), observed->weight(), prior(work));
}

duration observed_run_time::low_quantile(const work_item& work, const blackboard& board) const
{
    return proven_quantile(work, board, low);
}

duration observed_run_time::high_quantile(const work_item& work, const blackboard& board) const
{
    return proven_quantile(work, board, high);
}

} // namespace papayafall
