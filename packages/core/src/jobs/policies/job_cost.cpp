#include "papayafall/core/jobs/policies/job_cost.hpp"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

namespace papayafall::jobs {

namespace {

/// Weights of the priorities from the highest on; lower priorities have the last one.
constexpr std::array<double, 3> priority_weights{4, 2, 1};
/// Work that even the smallest job counts with, in microseconds of one core, so that many tiny jobs
/// are not given up for one that is hardly larger.
constexpr std::int64_t min_charged_work = 1'000'000;

} // namespace

double equal_cost::cost(const job_order_fields& /*order*/, core_time /*work*/) const
{
    return 1;
}

double priority_weighted_work::cost(const job_order_fields& order, core_time work) const
{
    const std::size_t level = std::min<std::size_t>(order.priority, priority_weights.size() - 1);
    return priority_weights[level] *
           static_cast<double>(std::max(work.microseconds, min_charged_work));
}

} // namespace papayafall::jobs
