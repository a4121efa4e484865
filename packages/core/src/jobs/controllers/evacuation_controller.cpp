#include "papayafall/core/jobs/controllers/evacuation_controller.hpp"

#include <algorithm>
#include <chrono>
#include <variant>
#include <vector>

namespace papayafall::jobs {

namespace {

/// Time after the evacuation of a zone in which started jobs may start their remaining tasks.
constexpr duration started_jobs_grace = std::chrono::milliseconds(500);

} // namespace

evacuation_controller::evacuation_controller(job_board& board)
    : evacuations_(board.evacuations.claim())
{
}

void evacuation_controller::on_event(job_board& board, const job_event& incoming,
                                     const clock_reading& now)
{
    if (const auto* it = std::get_if<zone_evacuation_listed>(&incoming)) {
        on_listed(board, *it, now.steady);
    }
    if (const auto* it = std::get_if<zone_evacuation_unlisted>(&incoming)) {
        on_unlisted(board, it->zone, now.steady);
    }
    if (const auto* it = std::get_if<zone_evacuations_confirmed>(&incoming)) {
        on_confirmed(board, it->as_of, now.steady);
    }
    if (const auto* it = std::get_if<zone_evacuation_reported>(&incoming)) {
        apply(board, it->request, it->sender.text(), now.steady);
    }
}

void evacuation_controller::on_listed(job_board& board, const zone_evacuation_listed& listed,
                                      time_point now)
{
    apply(board, {.zone = listed.zone, .revision = listed.revision}, "store", now);
    if (const evacuation_state* known = board.evacuations.find(listed.zone)) {
        evacuation_state state = *known;
        state.listed_revision = listed.revision;
        evacuations_.put(listed.zone, state);
    }
}

void evacuation_controller::on_unlisted(job_board& board, const zone_name& zone, time_point now)
{
    const evacuation_state* known = board.evacuations.find(zone);
    if (known != nullptr && known->listed_revision.value() != 0) {
        apply(board, {.zone = zone, .revision = known->listed_revision, .ended = true}, "store",
              now);
    }
}

void evacuation_controller::on_confirmed(job_board& board, store_revision as_of, time_point now)
{
    std::vector<zone_evacuation> removed;
    for (const auto& it : board.evacuations) {
        const zone_evacuation& request = it.value.request;
        if (request.ended || request.revision > as_of ||
            request.revision == it.value.listed_revision) {
            continue;
        }
        removed.push_back({.zone = it.key, .revision = request.revision, .ended = true});
    }
    for (const zone_evacuation& it : removed) {
        apply(board, it, "store", now);
    }
}

void evacuation_controller::apply(job_board& board, const zone_evacuation& request,
                                  const std::string& source, time_point now)
{
    const std::vector<zone_name>& zones = board.self.platform_zones;
    if (std::find(zones.begin(), zones.end(), request.zone) == zones.end()) {
        board.outbox.post(
            log_decision{"evacuation_ignored", request.zone.text(), {{"reason", "unknown_zone"}}});
        return;
    }
    const evacuation_state* known = board.evacuations.find(request.zone);
    if (known != nullptr && !request.supersedes(known->request)) {
        return;
    }
    evacuation_state state = known == nullptr ? evacuation_state() : *known;
    const bool was_evacuated = known != nullptr && !known->request.ended;
    state.request = request;
    state.changed_at = was_evacuated && !request.ended ? state.changed_at : now;
    evacuations_.put(request.zone, state);
    board.outbox.post(publish_evacuation{request});
    board.outbox.post(
        log_decision{request.ended ? "evacuation_ended" : "zone_evacuated",
                     request.zone.text(),
                     {{"revision", std::to_string(request.revision.value())}, {"from", source}}});
}

bool is_evacuated(const job_board& board, const zone_name& zone)
{
    const evacuation_state* known = board.evacuations.find(zone);
    return known != nullptr && !known->request.ended;
}

bool accepts_new_jobs(const job_board& board, const worker_fields& it)
{
    return !it.draining && !is_evacuated(board, it.zone);
}

bool accepts_tasks_of(const job_board& board, const worker_fields& it, const job_state_fields& job,
                      time_point now)
{
    if (accepts_new_jobs(board, it)) {
        return true;
    }
    const evacuation_state* known = board.evacuations.find(it.zone);
    return !it.draining && job.started && now < known->changed_at + started_jobs_grace;
}

} // namespace papayafall::jobs
