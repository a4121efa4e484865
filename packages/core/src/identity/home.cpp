#include "papayafall/core/identity/home.hpp"

#include "papayafall/core/membership/live_hosts.hpp"
#include "papayafall/core/values/stable_hash.hpp"

#include <algorithm>

namespace papayafall {

namespace {

failure unknown_outcome(error_id id, std::string detail)
{
    return failure{.id = id, .run = run_state::unknown, .detail = std::move(detail)};
}

failure invalid_key(std::string detail)
{
    return failure{
        .id = error_id::invalid_key, .run = run_state::not_run, .detail = std::move(detail)};
}

/// Finds the home of a ticket: the incarnation of the host that issued it.
home_location locate_ticket_home(const blackboard& board, const ticket& key, time_point now)
{
    const self_state& self = board.self.get();
    if (key.host == self->host && key.incarnation == self->incarnation) {
        return local_home{};
    }
    const host_state* state = board.hosts.find(key.host);
    if (key.host == self->host ||
        (state != nullptr && (*state)->last_heartbeat->incarnation > key.incarnation)) {
        return unknown_outcome(error_id::home_lost,
                               "the host that issued the ticket was restarted or replaced");
    }
    const peer_id peer{.host = key.host, .incarnation = key.incarnation};
    const host_state* alive = find_live_host(board, peer, now);
    if (alive == nullptr) {
        return unknown_outcome(error_id::home_unreachable,
                               "the host that issued the ticket cannot be reached");
    }
    return peer_home{.peer = peer, .link = (*alive)->last_heartbeat->link};
}

bool holds_seat(const heartbeat& beat, const seat_id& seat)
{
    return std::find(beat->seats.begin(), beat->seats.end(), seat) != beat->seats.end();
}

/// Finds the home of a caller's key: the host that holds the seat of the key.
home_location locate_caller_key_home(const blackboard& board, const caller_key& key, time_point now)
{
    const std::optional<seat_id> seat = seat_for_key(board.current_configuration.get(), key);
    if (!seat) {
        return unknown_outcome(error_id::no_home, "the configuration defines no seats");
    }
    const seat_state* own_seat = board.seats.find(*seat);
    if (own_seat != nullptr && (*own_seat)->phase == seat_phase::held) {
        return local_home{};
    }
    for (const auto& it : board.hosts) {
        const heartbeat& beat = it.value->last_heartbeat;
        if (!is_alive(it.value, now) || !holds_seat(beat, *seat)) {
            continue;
        }
        return peer_home{.peer = {.host = it.key, .incarnation = beat->incarnation},
                         .link = beat->link};
    }
    return unknown_outcome(error_id::no_home, "no reachable host holds the seat of the key");
}

/// Checks whether a ticket without a record was issued here and may still start work.
std::optional<failure> check_ticket(const blackboard& board, const ticket& key)
{
    const ticket_numbers& counters = board.ticket_counters.get();
    if (key.zone != board.self.get()->zone || key.sequence >= counters.next_sequence) {
        return invalid_key("the ticket was not issued by this process");
    }
    if (key.sequence <= counters.last_expired_sequence) {
        return unknown_outcome(error_id::key_expired,
                               "the ticket has expired and cannot start work");
    }
    return std::nullopt;
}

/// Checks whether a key created at `created_at` may still start work under `seat`.
std::optional<failure> check_creation_time(const blackboard& board, const seat_state& seat,
                                           wall_time created_at, const clock_reading& now)
{
    const core_parameters& parameters = board.parameters;
    if (created_at > now.wall + parameters->key_future_limit) {
        return invalid_key("the creation time of the key is in the future");
    }
    const auto lifetime =
        std::chrono::duration_cast<std::chrono::milliseconds>(parameters->key_lifetime());
    if (created_at < now.wall - lifetime) {
        return unknown_outcome(error_id::key_expired, "the key has expired and cannot start work");
    }
    if (created_at <= seat->accept_keys_created_after) {
        return unknown_outcome(
            error_id::home_lost,
            "the key may have been created before the current holder took over its seat");
    }
    return std::nullopt;
}

/// Checks whether a caller's key without a record may start work here. A key without a creation
/// time may not for as long as an earlier holder of its seat could still have a record of it.
std::optional<failure> check_caller_key(const blackboard& board, const caller_key& key,
                                        const clock_reading& now)
{
    const std::optional<seat_id> seat = seat_for_key(board.current_configuration.get(), key);
    const seat_state* state = seat ? board.seats.find(*seat) : nullptr;
    if (state == nullptr || (*state)->phase != seat_phase::held ||
        now.steady >= board.session_lease_until.get()) {
        return unknown_outcome(error_id::no_home,
                               "this host has no confirmed lease on the seat of the key");
    }
    if (key.created_at) {
        return check_creation_time(board, *state, *key.created_at, now);
    }
    if (now.steady < (*state)->accept_undated_keys_from) {
        failure failed =
            unknown_outcome(error_id::home_lost,
                            "the seat was taken over recently and the key has no creation time");
        failed.retry_at = (*state)->accept_undated_keys_from;
        return failed;
    }
    return std::nullopt;
}

} // namespace

std::optional<seat_id> seat_for_key(const configuration& current, const caller_key& key)
{
    std::uint64_t total = 0;
    for (const auto& [zone, it] : current->zones) {
        total += it.seat_count;
    }
    if (total == 0) {
        return std::nullopt;
    }
    std::uint64_t index = stable_hash(key.text) % total;
    for (const auto& [zone, it] : current->zones) {
        if (index < it.seat_count) {
            return seat_id{.zone = zone, .number = static_cast<std::uint32_t>(index)};
        }
        index -= it.seat_count;
    }
    return std::nullopt;
}

home_location locate_home(const blackboard& board, const request_key& key, time_point now)
{
    if (const auto* it = std::get_if<ticket>(&key)) {
        return locate_ticket_home(board, *it, now);
    }
    return locate_caller_key_home(board, std::get<caller_key>(key), now);
}

std::optional<failure> check_first_use(const blackboard& board, const request_key& key,
                                       const clock_reading& now)
{
    if (const auto* it = std::get_if<ticket>(&key)) {
        return check_ticket(board, *it);
    }
    return check_caller_key(board, std::get<caller_key>(key), now);
}

} // namespace papayafall
