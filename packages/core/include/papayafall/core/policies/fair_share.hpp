#pragma once

#include "papayafall/core/values/work.hpp"

#include <cstdint>

namespace papayafall {

class blackboard;

/// Virtual times that differ by less than this count as equal, so that deadlines decide.
inline constexpr duration virtual_time_step = std::chrono::seconds(2);

/// Virtual time of the work that is served now in the class of the queue that `work` belongs to:
/// that of the class's first task, or the latest of all teams where none waits. A team that was
/// idle starts from here, so that it cannot save up its share.
duration system_virtual_time(const blackboard& board, const work_item& work, duration expected);

} // namespace papayafall
