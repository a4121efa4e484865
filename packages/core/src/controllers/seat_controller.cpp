#include "papayafall/core/controllers/seat_controller.hpp"

#include "papayafall/core/membership/live_hosts.hpp"
#include "papayafall/core/policies/rendezvous_hash.hpp"

#include <algorithm>
#include <string>

namespace papayafall {

namespace {

/// Returns whether a live peer reports that it holds `seat`.
bool held_by_peer(const blackboard& board, const seat_id& seat, time_point now)
{
    return std::any_of(board.hosts.begin(), board.hosts.end(), [&](const auto& it) {
        const std::vector<seat_id>& seats = it.value->last_heartbeat->seats;
        return is_alive(it.value, now) &&
               std::find(seats.begin(), seats.end(), seat) != seats.end();
    });
}

/// Returns whether rendezvous hashing over the live hosts of the zone assigns `seat` to this host.
bool is_preferred_host(const blackboard& board, const seat_id& seat, time_point now)
{
    const std::vector<host_name> live_hosts = live_zone_hosts(board, now);
    const std::string item = seat.zone.text() + "/" + std::to_string(seat.number);
    const host_name* owner = rendezvous_owner(live_hosts, item);
    return owner != nullptr && *owner == board.self.get()->host;
}

/// Returns the latest creation time of a key that an earlier holder of the seat may have started.
///
/// An earlier holder started only keys created before the time of its own wall clock plus
/// `key_future_limit`. The wall clocks of the two holders differ by at most twice
/// `max_clock_error`.
wall_time last_unsafe_creation_time(const core_parameters& parameters, wall_time inherited_at)
{
    return inherited_at + parameters->key_future_limit + 2 * parameters->max_clock_error;
}

seat_state state_or_default(const blackboard& board, const seat_id& seat)
{
    const seat_state* known = board.seats.find(seat);
    return known == nullptr ? seat_state{} : *known;
}

/// Returns the seat in another phase. The generation and the key limits of earlier acquisitions are
/// kept.
seat_state with_phase(const seat_state& before, seat_phase phase, time_point next_step_at)
{
    return before.with([&](seat_state_fields& it) {
        it.phase = phase;
        it.next_claim_at = next_step_at;
    });
}

/// Returns whether this process was the last holder of the seat before `grant`. It then has the
/// records of all keys started under the seat since, and its earlier key limits still cover the
/// holders before it. False if the platform does not count acquisitions.
bool was_last_holder(const seat_state& before, const seat_granted& grant)
{
    return before->generation != 0 && grant.generation >= before->generation &&
           grant.generation - before->generation <= 1;
}

} // namespace

seat_controller::seat_controller(blackboard& board)
    : session_lease_until_(board.session_lease_until.claim()), seats_(board.seats.claim())
{
}

void seat_controller::on_event(blackboard& board, const event& incoming, const clock_reading& now)
{
    if (const auto* it = std::get_if<session_confirmed>(&incoming)) {
        session_lease_until_.put(std::max(board.session_lease_until.get(), it->lease_until));
    } else if (std::holds_alternative<session_lost>(incoming)) {
        mark_all_seats_free(board, now.steady);
    } else if (const auto* granted = std::get_if<seat_granted>(&incoming)) {
        record_grant(board, *granted, now);
    } else if (const auto* refused = std::get_if<seat_refused>(&incoming)) {
        seats_.put(refused->seat,
                   with_phase(state_or_default(board, refused->seat), seat_phase::free,
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
        claim_if_preferred(board, seat_id{.zone = self->zone, .number = n}, now.steady);
    }
}

void seat_controller::record_grant(blackboard& board, const seat_granted& grant,
                                   const clock_reading& now)
{
    const seat_state before = state_or_default(board, grant.seat);
    const bool inherited = grant.inherited_at && !was_last_holder(before, grant);
    const seat_state held = with_phase(before, seat_phase::held, time_point{});
    seats_.put(grant.seat, held.with([&](seat_state_fields& it) {
        it.generation = grant.generation;
        if (inherited) {
            it.accept_keys_created_after =
                last_unsafe_creation_time(board.parameters, *grant.inherited_at);
            it.accept_undated_keys_from = now.steady + board.parameters->record_retention;
        }
    }));
}

void seat_controller::mark_all_seats_free(blackboard& board, time_point now)
{
    session_lease_until_.put(time_point::min());
    std::vector<seat_id> seats;
    for (const auto& it : board.seats) {
        seats.push_back(it.key);
    }
    for (const seat_id& it : seats) {
        seats_.put(it, with_phase(state_or_default(board, it), seat_phase::free, now));
    }
}

void seat_controller::claim_if_preferred(blackboard& board, const seat_id& seat, time_point now)
{
    const seat_state* state = board.seats.find(seat);
    if (state != nullptr &&
        ((*state)->phase == seat_phase::held || now < (*state)->next_claim_at)) {
        return;
    }
    if (now >= board.session_lease_until.get() || held_by_peer(board, seat, now) ||
        !is_preferred_host(board, seat, now)) {
        return;
    }
    seats_.put(seat, with_phase(state_or_default(board, seat), seat_phase::claiming,
                                now + board.parameters->seat_claim_timeout));
    board.outbox.post(claim_seat{seat});
}

} // namespace papayafall
