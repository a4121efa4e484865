#include "papayafall/core/jobs/state/place_index.hpp"

#include <algorithm>
#include <cstddef>
#include <limits>

namespace papayafall::jobs {

namespace {

/// Number of times that `need` is contained in `available`.
std::int64_t quotient(std::int64_t available, std::int64_t need) noexcept
{
    if (need <= 0) {
        return available < 0 ? 0 : std::numeric_limits<std::uint32_t>::max();
    }
    return std::max<std::int64_t>(available, 0) / need;
}

} // namespace

std::uint32_t places_within(const resources& free, const resources& need) noexcept
{
    const std::int64_t found = std::min({quotient(free.cpu_millis, need.cpu_millis),
                                         quotient(free.memory_mb, need.memory_mb),
                                         quotient(free.accelerators, need.accelerators)});
    return static_cast<std::uint32_t>(
        std::min<std::int64_t>(found, std::numeric_limits<std::uint32_t>::max()));
}

service_capacity changed_by(const service_capacity& sum, const indexed_worker& it, bool added)
{
    service_capacity next = sum;
    if (!it.takes_jobs) {
        return next;
    }
    const std::int64_t sign = added ? 1 : -1;
    next.workers = added ? next.workers + 1 : next.workers - 1;
    next.total_cpu_millis += sign * it.capacity.cpu_millis;
    if (!it.ready) {
        return next;
    }
    next.ready_cpu_millis += sign * it.capacity.cpu_millis;
    next.free_cpu_millis += sign * it.free.cpu_millis;
    for (std::size_t n = 0; n < place_class_count; ++n) {
        const auto places =
            static_cast<std::uint32_t>(quotient(it.free.cpu_millis, largest_demand_of(n)));
        std::uint32_t& count = next.places.free.at(n);
        count = added ? count + places : count - places;
    }
    return next;
}

} // namespace papayafall::jobs
