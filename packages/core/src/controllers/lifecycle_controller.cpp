#include "papayafall/core/controllers/lifecycle_controller.hpp"

#include <algorithm>

namespace papayafall {

namespace {

bool has_no_open_work(const blackboard& board)
{
    return board.submissions_by_call.empty() && board.forwarded_requests.empty() &&
           board.exchanges.empty() && board.queue.empty();
}

} // namespace

lifecycle_controller::lifecycle_controller(blackboard& board)
    : self_(board.self.claim()), stop_posted_(board.stop_posted.claim())
{
}

void lifecycle_controller::on_event(blackboard& board, const event& incoming,
                                    const clock_reading& now)
{
    const auto* shutdown = std::get_if<shutdown_requested>(&incoming);
    if (shutdown == nullptr || board.self.get()->leaving) {
        return;
    }
    const time_point refuse_from =
        std::min(shutdown->deadline, now.steady + board.parameters->drain_period);
    self_.put(board.self.get().with([&](self_state_fields& it) {
        it.leaving = true;
        it.refuse_from = refuse_from;
        it.stop_at = shutdown->deadline;
    }));
}

void lifecycle_controller::on_tick(blackboard& board, const clock_reading& now)
{
    const self_state& self = board.self.get();
    if (!self->leaving || board.stop_posted.get() || now.steady < self->refuse_from) {
        return;
    }
    if (has_no_open_work(board) || now.steady >= self->stop_at) {
        stop_posted_.put(true);
        board.outbox.post(stop_process{});
    }
}

} // namespace papayafall
