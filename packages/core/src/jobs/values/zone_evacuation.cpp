#include "papayafall/core/jobs/values/zone_evacuation.hpp"

#include <tuple>

namespace papayafall::jobs {

bool zone_evacuation::supersedes(const zone_evacuation& other) const noexcept
{
    return std::tie(revision, ended) > std::tie(other.revision, other.ended);
}

} // namespace papayafall::jobs
