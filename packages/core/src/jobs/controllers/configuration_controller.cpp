#include "papayafall/core/jobs/controllers/configuration_controller.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace papayafall::jobs {

namespace {

/// Time that the store gets to deliver a version by itself before another host is asked for it.
constexpr duration request_delay = std::chrono::milliseconds(100);
/// Time after which the next host is asked.
constexpr duration request_timeout = std::chrono::milliseconds(300);

} // namespace

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
      configuration_confirmed_at_(board.configuration_confirmed_at.claim()),
      offered_configurations_(board.offered_configurations.claim()),
      configuration_request_due_(board.configuration_request_due.claim())
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
    if (const auto* it = std::get_if<configuration_offered>(&incoming)) {
        record_offer(board, *it, now.steady);
    }
    if (const auto* it = std::get_if<configuration_requested>(&incoming);
        it != nullptr && (*board.configuration)->version > 0) {
        board.outbox.post(send_configuration{it->link, *board.configuration});
    }
    if (const auto* it = std::get_if<delegator_lost>(&incoming)) {
        offered_configurations_.erase(it->link);
    }
}

void job_configuration_controller::on_tick(job_board& board, const clock_reading& now)
{
    if (now.steady >= *board.configuration_request_due) {
        request_newest(board, now.steady);
    }
}

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
                      {"from", read.sender.empty() ? "store" : read.sender.text()},
                      {"confirmed_ms_ago", configuration_age(board, now)},
                      {"queues", std::to_string(read.configuration->queues.size())}}});
    if (newer) {
        configuration_.put(read.configuration);
        board.outbox.post(publish_configuration_version{version});
    }
}

void job_configuration_controller::record_offer(job_board& board,
                                                const configuration_offered& offered,
                                                time_point now)
{
    if (offered.version <= (*board.configuration)->version) {
        return;
    }
    offered_configurations_.put(offered.link, offered.version);
    if (*board.configuration_request_due == no_deadline) {
        configuration_request_due_.put(now + request_delay);
    }
}

void job_configuration_controller::request_newest(job_board& board, time_point now)
{
    const std::uint64_t in_force = (*board.configuration)->version;
    std::optional<link_number> newest;
    std::uint64_t newest_version = in_force;
    std::vector<link_number> outdated;
    for (const auto& it : board.offered_configurations) {
        if (it.value <= in_force) {
            outdated.push_back(it.key);
        } else if (it.value > newest_version) {
            newest = it.key;
            newest_version = it.value;
        }
    }
    for (const link_number it : outdated) {
        offered_configurations_.erase(it);
    }
    if (!newest) {
        configuration_request_due_.put(no_deadline);
        return;
    }
    offered_configurations_.erase(*newest);
    board.outbox.post(request_configuration{*newest});
    board.outbox.post(log_decision{"configuration_requested",
                                   std::to_string(newest_version),
                                   {{"link", std::to_string(newest->value())},
                                    {"in_force", std::to_string(in_force)},
                                    {"confirmed_ms_ago", configuration_age(board, now)}}});
    configuration_request_due_.put(now + request_timeout);
}

} // namespace papayafall::jobs
