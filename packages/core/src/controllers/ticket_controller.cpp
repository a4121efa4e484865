#include "papayafall/core/controllers/ticket_controller.hpp"

#include <algorithm>

namespace papayafall {

ticket_controller::ticket_controller(blackboard& board)
    : numbers_(board.ticket_counters.claim()), marks_(board.ticket_batches.claim())
{
}

void ticket_controller::on_event(blackboard& board, const event& incoming, const clock_reading& now)
{
    if (const auto* asked = std::get_if<tickets_requested>(&incoming)) {
        issue(board, *asked, now.steady);
    }
}

void ticket_controller::on_tick(blackboard& board, const clock_reading& now)
{
    while (const auto last = board.ticket_batches.expired(now.steady)) {
        marks_.erase(*last);
        ticket_numbers numbers = board.ticket_counters.get();
        numbers.last_expired_sequence = std::max(numbers.last_expired_sequence, *last);
        numbers_.put(numbers);
    }
}

void ticket_controller::issue(blackboard& board, const tickets_requested& asked, time_point now)
{
    ticket_numbers numbers = board.ticket_counters.get();
    const self_state& self = board.self.get();
    std::vector<ticket> tickets;
    tickets.reserve(asked.count);
    for (std::uint32_t n = 0; n < asked.count; ++n) {
        tickets.push_back(ticket{.zone = self->zone,
                                 .host = self->host,
                                 .incarnation = self->incarnation,
                                 .sequence = numbers.next_sequence++});
    }
    numbers_.put(numbers);
    marks_.put(numbers.next_sequence - 1, now, now + board.parameters->key_lifetime());
    board.outbox.post(issue_tickets{asked.call, tickets});
}

} // namespace papayafall
