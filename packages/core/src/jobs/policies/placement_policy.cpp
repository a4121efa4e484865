#include "papayafall/core/jobs/policies/placement_policy.hpp"

namespace papayafall::jobs {

std::optional<std::size_t>
first_fit::choose(const placement_demand& /*demand*/,
                  const std::vector<placement_candidate>& /*candidates*/) const
{
    return 0;
}

} // namespace papayafall::jobs
