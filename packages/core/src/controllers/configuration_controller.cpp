#include "papayafall/core/controllers/configuration_controller.hpp"

#include "papayafall/core/membership/live_hosts.hpp"

namespace papayafall {

configuration_controller::configuration_controller(blackboard& board)
    : current_(board.current_configuration.claim()), last_change_(board.last_change.claim()),
      watching_(board.watching_configuration.claim()), fetch_due_(board.configuration_fetch_due.claim())
{
}

void configuration_controller::on_event(blackboard& board, const event& incoming,
                                        const clock_reading& now)
{
    if (const auto* it = std::get_if<configuration_received>(&incoming)) {
        receive(board, *it, now.wall);
    } else if (const auto* heard = std::get_if<heartbeat_received>(&incoming)) {
        fetch(board, heard->beat, now.steady);
    }
}

void configuration_controller::on_tick(blackboard& board, const clock_reading& now)
{
    const std::vector<host_name> names = live_zone_hosts(board, now.steady);
    const bool elected = !names.empty() && names.front() == board.self.get()->host;
    if (elected == board.watching_configuration.get()) {
        return;
    }
    watching_.put(elected);
    board.outbox.post(watch_configuration{elected});
}

void configuration_controller::receive(blackboard& board, const configuration_received& incoming,
                                       wall_time now)
{
    const revision_id before = board.current_configuration.get()->revision;
    if (incoming.content->revision <= before) {
        return;
    }
    const applied_change change{.applied_at = now, .previous_revision = before, .origin = incoming.origin};
    current_.put(incoming.content);
    last_change_.put(change);
    board.outbox.post(configuration_applied{incoming.content, change});
}

void configuration_controller::fetch(blackboard& board, const heartbeat& beat, time_point now)
{
    if (beat->revision <= board.current_configuration.get()->revision ||
        now < board.configuration_fetch_due.get()) {
        return;
    }
    fetch_due_.put(now + board.parameters->configuration_fetch_period);
    board.outbox.post(fetch_configuration{
        .peer = {.host = beat->host, .incarnation = beat->incarnation}, .link = beat->link});
}

} // namespace papayafall
