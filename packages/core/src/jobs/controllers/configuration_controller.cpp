#include "papayafall/core/jobs/controllers/configuration_controller.hpp"

#include <chrono>
#include <string>
#include <variant>

namespace papayafall::jobs {

std::string configuration_age(const job_board& board, time_point now)
{
    const time_point confirmed_at = *board.configuration_confirmed_at;
    if (confirmed_at == time_point()) {
        return "never";
    }
    return std::to_string(
        std::chrono::duration_cast<std::chrono::milliseconds>(now - confirmed_at).count());
}

job_configuration_controller::job_configuration_controller(job_board& board)
    : configuration_(board.configuration.claim()),
      configuration_confirmed_at_(board.configuration_confirmed_at.claim())
{
}

void job_configuration_controller::on_event(job_board& board, const job_event& incoming,
                                            const clock_reading& now)
{
    if (const auto* it = std::get_if<configuration_read>(&incoming)) {
        apply(board, *it, now.steady);
    }
    if (std::holds_alternative<configuration_confirmed>(incoming)) {
        configuration_confirmed_at_.put(now.steady);
    }
}

void job_configuration_controller::on_tick(job_board& /*board*/, const clock_reading& /*now*/) {}

void job_configuration_controller::apply(job_board& board, const configuration_read& read,
                                         time_point now)
{
    const std::uint64_t in_force = (*board.configuration)->version;
    const std::uint64_t version = read.configuration->version;
    if (version == in_force) {
        return;
    }
    const bool newer = version > in_force;
    board.outbox.post(
        log_decision{newer ? "configuration_applied" : "configuration_ignored",
                     std::to_string(version),
                     {{"in_force", std::to_string(in_force)},
                      {"confirmed_ms_ago", configuration_age(board, now)},
                      {"queues", std::to_string(read.configuration->queues.size())}}});
    if (newer) {
        configuration_.put(read.configuration);
        board.outbox.post(publish_configuration_version{version});
    }
}

} // namespace papayafall::jobs
