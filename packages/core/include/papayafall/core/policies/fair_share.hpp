#pragma once

#include "papayafall/core/values/work.hpp"

#include <cstdint>

namespace papayafall {

class blackboard;

/// Resolution of virtual times in the queue order. Teams whose virtual times fall into the same
/// step rank equally, so that deadlines decide between their tasks.
inline constexpr duration virtual_time_step = std::chrono::seconds(2);

/// Returns the virtual time that weighted fair queueing has reached for tasks of the same lane and
/// urgency as `work`: that of the first waiting one or, if none waits, the latest of all teams.
/// The virtual time of a team that was idle starts from here, so that it cannot save up its share.
/// @param expected  expected run time of `work`, which determines its lane
duration system_virtual_time(const blackboard& board, const work_item& work, duration expected);

} // namespace papayafall
