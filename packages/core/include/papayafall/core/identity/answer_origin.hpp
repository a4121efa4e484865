#pragma once

#include "papayafall/core/blackboard/blackboard.hpp"
#include "papayafall/core/values/answer.hpp"
#include "papayafall/core/values/work.hpp"

namespace papayafall {

/// Posts the action that sends `result` to the origin of a request: a caller of this process or the
/// peer that forwarded the request.
void answer_origin(blackboard& board, const request_origin& origin, const answer& result);

} // namespace papayafall
