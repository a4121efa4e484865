#include "papayafall/core/controllers/ticket_controller.hpp"

#include <algorithm>

namespace papayafall {

ticket_controller::ticket_controller(blackboard& board)
    : counters_(board.ticket_counters.claim()), ticket_batches_(board.ticket_batches.claim())
{
}

void ticket_controller::on_event(blackboard& board, const event& incoming, const clock_reading& now)
{
    if (const auto* received = std::get_if<tickets_requested>(&incoming)) {
        handle_ticket_request(board, *received, now.steady);
    }
}

void ticket_controller::on_tick(blackboard& board, const clock_reading& now)
{
    while (const auto last = board.ticket_batches.expired(now.steady)) {
        ticket_batches_.erase(*last);
        ticket_numbers counters = board.ticket_counters.get();
        counters.last_expired_sequence = std::max(counters.last_expired_sequence, *last);
        counters_.put(counters);
    }
}

void ticket_controller::handle_ticket_request(blackboard& board, const tickets_requested& received,
                                              time_point now)
{
    ticket_numbers counters = board.ticket_counters.get();
    const self_state& self = board.self.get();
    std::vector<ticket> tickets;
    tickets.reserve(received.count);
    for (std::uint32_t n = 0; n < received.count; ++n) {
        tickets.push_back(ticket{.zone = self->zone,
                                 .host = self->host,
                                 .incarnation = self->incarnation,
                                 .sequence = counters.next_sequence++});
    }
    counters_.put(counters);
    ticket_batches_.put(counters.next_sequence - 1, now, now + board.parameters->key_lifetime());
    board.outbox.post(issue_tickets{received.call, tickets});
}

} // namespace papayafall
