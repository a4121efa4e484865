#pragma once

#include "papayafall/core/blackboard/blackboard.hpp"
#include "papayafall/core/values/answer.hpp"
#include "papayafall/core/values/work.hpp"

namespace papayafall {

/// Posts the action that takes `result` to the caller or the peer that waits for it.
void answer_origin(blackboard& board, const request_origin& origin, const answer& result);

} // namespace papayafall
