#include "papayafall/core/state/run_time_estimate.hpp"

#include <algorithm>
#include <cmath>

namespace papayafall {

namespace {

constexpr float buckets_per_doubling = 4;
/// Lower bound of the second bucket, in microseconds.
constexpr float least_run_time = 1000;
/// Total weight at which all weights are halved.
constexpr float most_weight = 512;

std::size_t bucket_of(duration run_time)
{
    const float count = std::max(static_cast<float>(run_time.count()), 1.0F);
    const float position = buckets_per_doubling * std::log2(count / least_run_time);
    return static_cast<std::size_t>(
        std::clamp(position, 0.0F, static_cast<float>(run_time_buckets - 1)));
}

/// Run time at `position`, counted in buckets from the lower bound of the first one.
duration run_time_at(float position)
{
    return duration(std::lround(least_run_time * std::exp2(position / buckets_per_doubling)));
}

} // namespace

run_time_estimate run_time_estimate::with_observed(duration run_time) const
{
    run_time_estimate after;
    after.fields_ = fields_.with([run_time](run_time_estimate_fields& it) {
        if (it.total >= most_weight) {
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
    float below = 0;
    for (std::size_t n = 0; n < run_time_buckets; ++n) {
        below += fields_->weights.at(n);
        if (below >= rank && below > 0) {
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
    constexpr float middle = 0.5F;
    float sum = 0;
    for (std::size_t n = 0; n < run_time_buckets; ++n) {
        const float weight = fields_->weights.at(n);
        if (weight <= 0) {
            continue;
        }
        const duration run_time = run_time_at(static_cast<float>(n) + middle);
        sum += weight * static_cast<float>(run_time.count());
    }
    return duration(std::lround(sum / fields_->total));
}

} // namespace papayafall
