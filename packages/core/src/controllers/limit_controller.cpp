#include "papayafall/core/controllers/limit_controller.hpp"

#include "papayafall/core/policies/fair_share.hpp"
#include "papayafall/core/policies/peer_capacity.hpp"
#include "papayafall/core/policies/slot_price.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace papayafall {

namespace {

const service_configuration* find_service(const blackboard& board, const service_name& service)
{
    const auto& services = board.current_configuration.get()->services;
    const auto it = services.find(service);
    return it == services.end() ? nullptr : &it->second;
}

const team_configuration* find_team(const blackboard& board, const team_name& team)
{
    const auto& teams = board.current_configuration.get()->teams;
    const auto it = teams.find(team);
    return it == teams.end() ? nullptr : &it->second;
}

template <typename Value, typename Key>
Value find_or_default(const table<Key, Value>& section, const Key& key)
{
    const Value* found = section.find(key);
    return found == nullptr ? Value{} : *found;
}

/// Returns `bucket`, refilled at this host's share of `limit`, with `count` tokens taken; unchanged
/// if there is no limit.
token_bucket take_tokens(const token_bucket& bucket, const std::optional<std::uint32_t>& limit,
                         std::uint32_t count, const blackboard& board, const clock_reading& now)
{
    if (!limit) {
        return bucket;
    }
    return bucket.refilled(host_share_of_limit(*limit, board), now.steady).with_taken(count);
}

void subtract_saturating(std::uint32_t& value, std::uint32_t count)
{
    value -= std::min(value, count);
}

} // namespace

limit_controller::limit_controller(blackboard& board,
                                   std::shared_ptr<const run_time_estimator> run_times)
    : run_times_(std::move(run_times)), service_usages_(board.service_usages.claim()),
      team_usages_(board.team_usages.claim()), open_submissions_(board.open_submissions.claim()),
      latest_virtual_start_(board.latest_virtual_start.claim())
{
}

void limit_controller::on_event(blackboard& board, const event& incoming, const clock_reading& now)
{
    if (const auto* accepted = std::get_if<submission_accepted>(&incoming)) {
        count_submission(board, *accepted, now);
    } else if (const auto* delegated = std::get_if<delegation_received>(&incoming)) {
        count_delegation(board, *delegated);
    } else if (const auto* finished = std::get_if<work_finished>(&incoming)) {
        release_finished_task(board, *finished);
    } else if (const auto* closed = std::get_if<submission_closed>(&incoming)) {
        release_submission(board, *closed);
    } else if (const auto* ended = std::get_if<exchange_finished>(&incoming)) {
        charge_run_time(board, *ended, now);
    }
}

void limit_controller::on_tick(blackboard& /*board*/, const clock_reading& /*now*/) {}

void limit_controller::count_submission(const blackboard& board,
                                        const submission_accepted& incoming,
                                        const clock_reading& now)
{
    const request& content = incoming.content;
    const auto tasks = static_cast<std::uint32_t>(content->tasks.size());
    open_submissions_.put(
        incoming.submission,
        open_submission{.service = content->service, .team = content->team, .tasks = tasks});

    service_usage service = find_or_default(board.service_usages, content->service);
    service.open_tasks += tasks;
    if (const auto* configured = find_service(board, content->service)) {
        service.bucket = take_tokens(service.bucket, configured->rate_limit, 1, board, now);
    }
    service_usages_.put(content->service, service);

    team_usage team = find_or_default(board.team_usages, content->team);
    team.open_tasks += tasks;
    if (const auto* configured = find_team(board, content->team)) {
        team.bucket = take_tokens(team.bucket, configured->rate_limit, tasks, board, now);
    }
    team_usages_.put(content->team, team);

    const work_item sample(work_item_fields{.service = content->service,
                                            .team = content->team,
                                            .urgency = content->urgency.value_or(default_urgency)});
    advance_virtual_time(board, sample, tasks);
}

void limit_controller::count_delegation(const blackboard& board,
                                        const delegation_received& incoming)
{
    advance_virtual_time(board, incoming.work, 1);
}

void limit_controller::release_finished_task(const blackboard& board, const work_finished& incoming)
{
    const auto* owner = std::get_if<home_owner>(&incoming.owner);
    if (owner == nullptr) {
        return;
    }
    const open_submission* found = board.open_submissions.find(owner->submission);
    if (found == nullptr || found->tasks == 0) {
        return;
    }
    open_submission after = *found;
    --after.tasks;
    open_submissions_.put(owner->submission, after);
    release_tasks(board, after, 1);
}

void limit_controller::release_submission(const blackboard& board,
                                          const submission_closed& incoming)
{
    const open_submission* found = board.open_submissions.find(incoming.submission);
    if (found == nullptr) {
        return;
    }
    release_tasks(board, *found, found->tasks);
    open_submissions_.erase(incoming.submission);
}

void limit_controller::charge_run_time(const blackboard& board, const exchange_finished& incoming,
                                       const clock_reading& now)
{
    const exchange_state* exchange = board.exchanges.find(incoming.exchange);
    if (exchange == nullptr || !std::holds_alternative<target_name>((*exchange)->destination)) {
        return;
    }
    const service_name& name = (*exchange)->work->service;
    const service_configuration* configured = find_service(board, name);
    if (configured == nullptr || configured->price_per_slot_second_millionths == 0) {
        return;
    }
    service_usage after = find_or_default(board.service_usages, name);
    after.spent_millionths =
        after.spent_at(now.steady) + price_of(*configured, now.steady - (*exchange)->started_at);
    if (now.steady >= after.budget_window_end) {
        after.budget_window_end = now.steady + configured->budget_window;
    }
    service_usages_.put(name, after);
}

void limit_controller::advance_virtual_time(const blackboard& board, const work_item& sample,
                                            std::uint32_t tasks)
{
    const team_configuration* configured = find_team(board, sample->team);
    const std::uint32_t quota = configured == nullptr ? 1 : std::max(configured->slot_quota, 1U);
    const duration expected = run_times_->expected(sample, board);

    team_usage team = find_or_default(board.team_usages, sample->team);
    team.virtual_start =
        std::max(team.virtual_finish, system_virtual_time(board, sample, expected));
    team.virtual_finish = team.virtual_start + expected * tasks / quota;
    team_usages_.put(sample->team, team);
    if (team.virtual_start > board.latest_virtual_start.get()) {
        latest_virtual_start_.put(team.virtual_start);
    }
}

void limit_controller::release_tasks(const blackboard& board, const open_submission& submission,
                                     std::uint32_t tasks)
{
    service_usage service = find_or_default(board.service_usages, submission.service);
    subtract_saturating(service.open_tasks, tasks);
    service_usages_.put(submission.service, service);

    team_usage team = find_or_default(board.team_usages, submission.team);
    subtract_saturating(team.open_tasks, tasks);
    team_usages_.put(submission.team, team);
}

} // namespace papayafall
