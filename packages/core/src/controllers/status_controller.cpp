#include "papayafall/core/controllers/status_controller.hpp"

namespace papayafall {

namespace {

template <typename Key, typename Value>
std::vector<Value> copy_values(const table<Key, Value>& section)
{
    std::vector<Value> values;
    values.reserve(section.size());
    for (const auto& it : section) {
        values.push_back(it.value);
    }
    return values;
}

std::vector<seat_status> seat_statuses(const blackboard& board, time_point now)
{
    const bool confirmed = now < board.session_lease_until.get();
    std::vector<seat_status> seats;
    for (const auto& it : board.seats) {
        const bool homes_keys = confirmed && it.value->phase == seat_phase::held;
        seats.push_back(seat_status{.seat = it.key, .state = it.value, .homes_keys = homes_keys});
    }
    return seats;
}

bool is_ready(const blackboard& board)
{
    return !board.self.get()->leaving && board.current_configuration.get()->revision.value() > 0 &&
           !board.targets.empty();
}

} // namespace

status_controller::status_controller(blackboard& board) : status_due_(board.status_due.claim()) {}

void status_controller::on_event(blackboard& /*board*/, const event& /*incoming*/,
                                 const clock_reading& /*now*/)
{
}

void status_controller::on_tick(blackboard& board, const clock_reading& now)
{
    if (now.steady < board.status_due.get()) {
        return;
    }
    status_due_.put(now.steady + board.parameters->status_period);
    board.outbox.post(publish_status{status_fields{
        .self = board.self.get(),
        .current_configuration = board.current_configuration.get(),
        .last_change = board.last_change.get(),
        .hosts = copy_values(board.hosts),
        .targets = copy_values(board.targets),
        .seats = seat_statuses(board, now.steady),
        .submission_records = board.submissions.size(),
        .queued_tasks = board.queue.size(),
        .running_tasks = board.exchanges.size(),
        .forwarded_requests = board.forwarded_requests.size(),
        .ready = is_ready(board),
    }});
}

} // namespace papayafall
