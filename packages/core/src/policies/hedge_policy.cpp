#include "papayafall/core/policies/hedge_policy.hpp"

namespace papayafall {

time_point no_hedge::hedge_at(const exchange_state& /*attempt*/, const blackboard& /*board*/) const
{
    return no_deadline;
}

} // namespace papayafall
