#include "papayafall/core/controllers/configuration_controller.hpp"

#include "papayafall/core/membership/live_hosts.hpp"

namespace papayafall {

configuration_controller::configuration_controller(blackboard& board)
    : current_configuration_(board.current_configuration.claim()),
      last_change_(board.last_change.claim()),
      watching_configuration_(board.watching_configuration.claim()),
      configuration_fetch_due_(board.configuration_fetch_due.claim())
{
}

void configuration_controller::on_event(blackboard& board, const event& incoming,
                                        const clock_reading& now)
{
    if (const auto* it = std::get_if<configuration_received>(&incoming)) {
        apply_if_newer(board, *it, now.wall);
    } else if (const auto* received = std::get_if<heartbeat_received>(&incoming)) {
        fetch_if_newer(board, received->beat, now.steady);
    }
}

void configuration_controller::on_tick(blackboard& board, const clock_reading& now)
{
    const std::vector<host_name> live_hosts = live_zone_hosts(board, now.steady);
    const bool watches_platform =
        !live_hosts.empty() && live_hosts.front() == board.self.get()->host;
    if (watches_platform == board.watching_configuration.get()) {
        return;
    }
    watching_configuration_.put(watches_platform);
    board.outbox.post(watch_configuration{watches_platform});
}

void configuration_controller::apply_if_newer(blackboard& board,
                                              const configuration_received& incoming, wall_time now)
{
    const revision_id current_revision = board.current_configuration.get()->revision;
    if (incoming.content->revision <= current_revision) {
        return;
    }
    const applied_change change{
        .applied_at = now, .previous_revision = current_revision, .origin = incoming.origin};
    current_configuration_.put(incoming.content);
    last_change_.put(change);
    board.outbox.post(configuration_applied{incoming.content, change});
}

void configuration_controller::fetch_if_newer(blackboard& board, const heartbeat& peer_heartbeat,
                                              time_point now)
{
    if (peer_heartbeat->revision <= board.current_configuration.get()->revision ||
        now < board.configuration_fetch_due.get()) {
        return;
    }
    configuration_fetch_due_.put(now + board.parameters->configuration_fetch_period);
    board.outbox.post(fetch_configuration{
        .peer = {.host = peer_heartbeat->host, .incarnation = peer_heartbeat->incarnation},
        .link = peer_heartbeat->link});
}

} // namespace papayafall
