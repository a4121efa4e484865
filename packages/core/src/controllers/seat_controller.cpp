#include "papayafall/core/controllers/seat_controller.hpp"

#include "papayafall/core/membership/live_hosts.hpp"
#include "papayafall/core/policies/rendezvous_hash.hpp"

#include <algorithm>
#include <string>

namespace papayafall {

namespace {

/// Whether a live peer reports that it holds `seat`.
bool held_by_peer(const blackboard& board, const seat_id& seat, time_point now)
{
    return std::any_of(board.hosts.begin(), board.hosts.end(), [&](const auto& it) {
        const std::vector<seat_id>& seats = it.value->last_heartbeat->seats;
        return is_alive(it.value, now) &&
               std::find(seats.begin(), seats.end(), seat) != seats.end();
    });
}

bool preferred_here(const blackboard& board, const seat_id& seat, time_point now)
{
    const std::vector<host_name> names = live_zone_hosts(board, now);
    const std::string item = seat.zone.text() + "/" + std::to_string(seat.number);
    const host_name* owner = rendezvous_owner(names, item);
    return owner != nullptr && *owner == board.self.get()->host;
}

/// First instant after which no key can have been started by an earlier holder.
///
/// An earlier holder started only keys made before its own wall clock plus `key_future_limit`;
/// the wall clocks of the two holders differ by at most twice `max_clock_error`.
wall_time safe_after(const core_parameters& parameters, wall_time inherited_at)
{
    return inherited_at + parameters->key_future_limit + 2 * parameters->max_clock_error;
}

seat_state known_state(const blackboard& board, const seat_id& seat)
{
    const seat_state* known = board.seats.find(seat);
    return known == nullptr ? seat_state{} : *known;
}

/// The seat in another phase; what was learned in earlier acquisitions stays.
seat_state in_phase(const seat_state& before, seat_phase phase, time_point next_step)
{
    return before.with([&](seat_state_fields& it) {
        it.phase = phase;
        it.next_claim_at = next_step;
    });
}

/// Whether no other process held the seat since this one did: it then has the records of all
/// keys that were started under the seat, and its earlier limits still cover older holders.
bool held_without_break(const seat_state& before, const seat_granted& grant)
{
    return before->generation != 0 && grant.generation >= before->generation &&
           grant.generation - before->generation <= 1;
}

} // namespace

seat_controller::seat_controller(blackboard& board)
    : session_lease_(board.session_lease_until.claim()), seats_(board.seats.claim())
{
}

void seat_controller::on_event(blackboard& board, const event& incoming, const clock_reading& now)
{
    if (const auto* it = std::get_if<session_confirmed>(&incoming)) {
        session_lease_.put(std::max(board.session_lease_until.get(), it->lease_until));
    } else if (std::holds_alternative<session_lost>(incoming)) {
        drop_all(board, now.steady);
    } else if (const auto* granted = std::get_if<seat_granted>(&incoming)) {
        grant(board, *granted, now);
    } else if (const auto* refused = std::get_if<seat_refused>(&incoming)) {
        seats_.put(refused->seat, in_phase(known_state(board, refused->seat), seat_phase::free,
                                           now.steady + board.parameters->seat_retry_period));
    }
}

void seat_controller::on_tick(blackboard& board, const clock_reading& now)
{
    const self_state& self = board.self.get();
    const auto& zones = board.current_configuration.get()->zones;
    const auto zone = zones.find(self->zone);
    if (zone == zones.end()) {
        return;
    }
    for (std::uint32_t n = 0; n < zone->second.seat_count; ++n) {
        step(board, seat_id{.zone = self->zone, .number = n}, now.steady);
    }
}

void seat_controller::grant(blackboard& board, const seat_granted& grant, const clock_reading& now)
{
    const seat_state before = known_state(board, grant.seat);
    const bool inherited = grant.inherited_at && !held_without_break(before, grant);
    const seat_state held = in_phase(before, seat_phase::held, time_point{});
    seats_.put(grant.seat, held.with([&](seat_state_fields& it) {
        it.generation = grant.generation;
        if (inherited) {
            it.accept_keys_made_after = safe_after(board.parameters, *grant.inherited_at);
            it.accept_undated_keys_from = now.steady + board.parameters->record_retention;
        }
    }));
}

void seat_controller::drop_all(blackboard& board, time_point now)
{
    session_lease_.put(time_point::min());
    std::vector<seat_id> names;
    for (const auto& it : board.seats) {
        names.push_back(it.key);
    }
    for (const seat_id& it : names) {
        seats_.put(it, in_phase(known_state(board, it), seat_phase::free, now));
    }
}

void seat_controller::step(blackboard& board, const seat_id& seat, time_point now)
{
    const seat_state* state = board.seats.find(seat);
    if (state != nullptr && ((*state)->phase == seat_phase::held || now < (*state)->next_claim_at)) {
        return;
    }
    if (now >= board.session_lease_until.get() || held_by_peer(board, seat, now) ||
        !preferred_here(board, seat, now)) {
        return;
    }
    seats_.put(seat, in_phase(known_state(board, seat), seat_phase::claiming,
                              now + board.parameters->seat_claim_timeout));
    board.outbox.post(claim_seat{seat});
}

} // namespace papayafall
