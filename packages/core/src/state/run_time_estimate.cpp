#include "papayafall/core/state/run_time_estimate.hpp"

#include <algorithm>
#include <cmath>

namespace papayafall {

namespace {

constexpr float buckets_per_doubling = 4;
/// Lower bound of the first bucket, which shorter run times also count in.
constexpr float first_bucket_start_us = 1000;
/// Total weight at which all weights are halved, so that old observations lose influence.
constexpr float max_total_weight = 512;

std::size_t bucket_of(duration run_time)
{
    const float count = std::max(static_cast<float>(run_time.count()), 1.0F);
    const float position = buckets_per_doubling * std::log2(count / first_bucket_start_us);
    return static_cast<std::size_t>(
        std::clamp(position, 0.0F, static_cast<float>(run_time_bucket_count - 1)));
}

/// Returns the run time at `position`, counted in buckets from the lower bound of the first one.
duration run_time_at(float position)
{
    return duration(
        std::lround(first_bucket_start_us * std::exp2(position / buckets_per_doubling)));
}

} // namespace

run_time_estimate run_time_estimate::with_observation(duration run_time) const
{
    run_time_estimate after;
    after.fields_ = fields_.with([run_time](run_time_estimate_fields& it) {
        if (it.total >= max_total_weight) {
            for (float& weight : it.weights) {
                weight /= 2;
            }
            it.total /= 2;
        }
        it.weights.at(bucket_of(run_time)) += 1;
        it.total += 1;
    });
    return after;
}

duration run_time_estimate::quantile(float quantile) const
{
    const float rank = quantile * fields_->total;
    float cumulative_weight = 0;
    for (std::size_t n = 0; n < run_time_bucket_count; ++n) {
        cumulative_weight += fields_->weights.at(n);
        if (cumulative_weight >= rank && cumulative_weight > 0) {
            return run_time_at(static_cast<float>(n + 1));
        }
    }
    return duration{};
}

duration run_time_estimate::mean() const
{
    if (fields_->total <= 0) {
        return duration{};
    }
    constexpr float bucket_middle = 0.5F;
    float sum = 0;
    for (std::size_t n = 0; n < run_time_bucket_count; ++n) {
        const float weight = fields_->weights.at(n);
        if (weight <= 0) {
            continue;
        }
        const duration run_time = run_time_at(static_cast<float>(n) + bucket_middle);
        sum += weight * static_cast<float>(run_time.count());
    }
    return duration(std::lround(sum / fields_->total));
}

} // namespace papayafall
