#include "papayafall/core/identity/answer_origin.hpp"

namespace papayafall {

void answer_origin(blackboard& board, const request_origin& origin, const answer& result)
{
    if (const auto* it = std::get_if<local_origin>(&origin)) {
        board.outbox.post(answer_call{it->call, result});
        return;
    }
    board.outbox.post(answer_forward{std::get<peer_origin>(origin), result});
}

} // namespace papayafall
