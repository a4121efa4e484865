#include "papayafall/core/jobs/values/demand_sample.hpp"

#include <algorithm>

namespace papayafall::jobs {

demand_sample demand_sample::with(std::int64_t demand) const
{
    demand_sample it = *this;
    it.cpu_millis.at(next) = demand;
    it.next = (next + 1) % capacity;
    return it;
}

double unusable_cpu_millis(std::int64_t free, const demand_sample& demands)
{
    const std::int64_t room = std::max<std::int64_t>(free, 0);
    std::int64_t unused = 0;
    std::int64_t sampled = 0;
    for (const std::int64_t it : demands.cpu_millis) {
        if (it <= 0) {
            continue;
        }
        unused += room % it;
        ++sampled;
    }
    return sampled == 0 ? 0 : static_cast<double>(unused) / static_cast<double>(sampled);
}

} // namespace papayafall::jobs
