#include "papayafall/core/controllers/membership_controller.hpp"

#include "papayafall/core/membership/live_hosts.hpp"

#include <algorithm>
#include <set>

namespace papayafall {

namespace {

/// Maximum number of peers that get a heartbeat in each period. If there are more peers, they are
/// served in turn.
constexpr std::size_t max_heartbeat_peers = 12;

/// Returns the seats that this host holds, or none if the session lease may have lapsed.
std::vector<seat_id> held_seats(const blackboard& board, time_point now)
{
    std::vector<seat_id> seats;
    if (now >= board.session_lease_until.get()) {
        return seats;
    }
    for (const auto& it : board.seats) {
        if (it.value->phase != seat_phase::held) {
            continue;
        }
        seats.push_back(it.key);
    }
    return seats;
}

/// Returns the targets that announced to this host that they are leaving. Reports from peers are
/// not included, since two hosts would otherwise keep repeating each other's reports.
std::vector<target_name> leaving_targets(const blackboard& board)
{
    std::vector<target_name> leaving;
    for (const auto& it : board.targets) {
        if (!it.value->announced_leaving) {
            continue;
        }
        leaving.push_back(it.key);
    }
    return leaving;
}

heartbeat compose_heartbeat(const blackboard& board, time_point now)
{
    const self_state& self = board.self.get();
    return heartbeat_fields{
        .host = self->host,
        .zone = self->zone,
        .incarnation = self->incarnation,
        .sequence = board.own_heartbeat.get()->sequence + 1,
        .link = self->link,
        .datagrams = self->datagrams,
        .revision = board.current_configuration.get()->revision,
        .free_slots = board.target_slot_totals->free,
        .queued_tasks = static_cast<std::uint32_t>(board.queue.size()),
        .leaving = self->leaving,
        .seats = held_seats(board, now),
        .leaving_targets = leaving_targets(board),
    };
}

/// Returns the datagram endpoints of all peers known from the host list or from heartbeats.
std::vector<endpoint> known_peer_endpoints(const blackboard& board)
{
    std::set<endpoint> peers;
    for (const peer_entry& it : board.host_list.get()->peers) {
        peers.insert(it.datagrams);
    }
    for (const auto& it : board.hosts) {
        peers.insert(it.value->last_heartbeat->datagrams);
    }
    peers.erase(board.self.get()->datagrams);
    return {peers.begin(), peers.end()};
}

/// Returns the peers that get the heartbeat with this sequence number.
std::vector<endpoint> heartbeat_recipients(std::vector<endpoint> peers, std::uint64_t sequence)
{
    if (peers.size() <= max_heartbeat_peers) {
        return peers;
    }
    const std::size_t first = (sequence * max_heartbeat_peers) % peers.size();
    std::rotate(peers.begin(), peers.begin() + static_cast<std::ptrdiff_t>(first), peers.end());
    peers.resize(max_heartbeat_peers);
    return peers;
}

} // namespace

membership_controller::membership_controller(blackboard& board)
    : hosts_(board.hosts.claim()), host_list_(board.host_list.claim()),
      own_heartbeat_(board.own_heartbeat.claim()), heartbeat_due_(board.heartbeat_due.claim()),
      board_(&board)
{
}

void membership_controller::on_event(blackboard& /*board*/, const event& incoming,
                                     const clock_reading& now)
{
    if (const auto* it = std::get_if<heartbeat_received>(&incoming)) {
        record_heartbeat(it->beat, now.steady);
    } else if (const auto* listed = std::get_if<host_list_received>(&incoming)) {
        host_list_.put(listed->hosts);
    }
}

void membership_controller::on_tick(blackboard& board, const clock_reading& now)
{
    while (const auto host = board.hosts.expired(now.steady)) {
        hosts_.erase(*host);
    }
    if (now.steady >= board.heartbeat_due.get()) {
        publish_heartbeat(board, now.steady);
    }
}

void membership_controller::record_heartbeat(const heartbeat& beat, time_point now)
{
    if (beat->host == board_->self.get()->host) {
        return;
    }
    const host_state* known = board_->hosts.find(beat->host);
    if (known != nullptr) {
        const heartbeat& last = (*known)->last_heartbeat;
        if (std::pair(beat->incarnation, beat->sequence) <=
            std::pair(last->incarnation, last->sequence)) {
            return;
        }
    }
    const time_point alive_until = now + board_->parameters->host_timeout;
    hosts_.put(beat->host, host_state_fields{.last_heartbeat = beat, .alive_until = alive_until},
               alive_until);
}

void membership_controller::publish_heartbeat(blackboard& board, time_point now)
{
    const heartbeat beat = compose_heartbeat(board, now);
    own_heartbeat_.put(beat);
    heartbeat_due_.put(now + board.parameters->heartbeat_period);
    const std::vector<endpoint> peers = known_peer_endpoints(board);
    if (!peers.empty()) {
        board.outbox.post(send_heartbeat{heartbeat_recipients(peers, beat->sequence), beat});
    }
}

} // namespace papayafall
