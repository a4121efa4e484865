#include "papayafall/core/policies/admission_policy.hpp"

#include "papayafall/core/blackboard/blackboard.hpp"
#include "papayafall/core/policies/peer_capacity.hpp"
#include "papayafall/core/policies/run_time_estimator.hpp"
#include "papayafall/core/policies/slot_policy.hpp"
#include "papayafall/core/policies/slot_price.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace papayafall {

namespace {

/// Time until a refused request may be retried when no better estimate exists.
constexpr duration retry_delay = std::chrono::seconds(1);
constexpr std::int64_t permille = 1000;
/// Share of the slots that predictions assume usable; the rest allows for run times above the mean.
constexpr std::int64_t planned_utilization_permille = 700;

failure refuse(error_id id, std::string detail, time_point retry_at = no_deadline)
{
    return failure{
        .id = id, .run = run_state::not_run, .detail = std::move(detail), .retry_at = retry_at};
}

/// Evaluates one request against the blackboard. Each `check_` member returns the refusal, if any.
class request_evaluation {
  public:
    request_evaluation(const request& content, const blackboard& board, const clock_reading& now,
                       const run_time_estimator& run_times)
        : content_(content), board_(board), now_(now.steady),
          task_count_(static_cast<std::uint32_t>(content->tasks.size())),
          spare_peer_slots_(spare_slots_of_peers(board, now))
    {
        const work_item sample(work_item_fields{
            .service = content->service,
            .team = content->team,
            .declared_run_time =
                content->tasks.empty() ? std::nullopt : content->tasks.front().declared_run_time});
        expected_run_time_ = run_times.expected(sample, board);
        high_run_time_ = run_times.high_quantile(sample, board);
    }

    std::optional<failure> evaluate()
    {
        const auto& services = board_.current_configuration.get()->services;
        const auto service = services.find(content_->service);
        if (service == services.end()) {
            return refuse(error_id::unknown_service,
                          "unknown service: " + content_->service.text());
        }
        const auto& teams = board_.current_configuration.get()->teams;
        const auto team = teams.find(content_->team);
        if (team == teams.end()) {
            return refuse(error_id::unknown_team, "unknown team: " + content_->team.text());
        }
        if (const auto* usage = board_.service_usages.find(content_->service)) {
            service_usage_ = *usage;
        }
        if (const auto* usage = board_.team_usages.find(content_->team)) {
            team_usage_ = *usage;
        }
        return first_refusal(service->second, team->second);
    }

  private:
    std::optional<failure> first_refusal(const service_configuration& service,
                                         const team_configuration& team) const
    {
        if (auto it = check_cost(service)) {
            return it;
        }
        if (auto it = check_budget(service)) {
            return it;
        }
        if (auto it = check_concurrency(service)) {
            return it;
        }
        if (auto it = check_rates(service, team)) {
            return it;
        }
        if (auto it = check_targets()) {
            return it;
        }
        if (auto it = check_queue(service)) {
            return it;
        }
        return check_deadline();
    }

    std::optional<failure> check_cost(const service_configuration& service) const
    {
        if (!service.max_cost_per_request_millionths ||
            price_of(service, expected_run_time_ * task_count_) <=
                *service.max_cost_per_request_millionths) {
            return std::nullopt;
        }
        return refuse(error_id::budget_exceeded,
                      "the expected cost of the request exceeds the cost limit of the service");
    }

    std::optional<failure> check_budget(const service_configuration& service) const
    {
        if (!service.budget_per_window_millionths) {
            return std::nullopt;
        }
        const std::uint32_t open = service_usage_.open_tasks + task_count_;
        const std::uint64_t committed = price_of(service, expected_run_time_ * open);
        const std::uint64_t spent = service_usage_.spent_at(now_);
        if (spent + committed <=
            host_share_of_limit(*service.budget_per_window_millionths, board_)) {
            return std::nullopt;
        }
        const time_point next_window = now_ < service_usage_.budget_window_end
                                           ? service_usage_.budget_window_end
                                           : now_ + service.budget_window;
        return refuse(error_id::budget_exceeded,
                      "the budget of the service for the current window is used up", next_window);
    }

    std::optional<failure> check_concurrency(const service_configuration& service) const
    {
        if (!service.concurrency_limit) {
            return std::nullopt;
        }
        const std::uint32_t share = host_share_of_limit(*service.concurrency_limit, board_);
        const std::uint32_t open = service_usage_.open_tasks;
        if (open + task_count_ <= share) {
            return std::nullopt;
        }
        if (open == 0 && task_count_ <= *service.concurrency_limit) {
            return std::nullopt; // a job larger than this host's share may run alone
        }
        return refuse(error_id::quota_exceeded,
                      "the service has reached its limit of tasks in progress",
                      now_ + expected_run_time_);
    }

    std::optional<failure> check_rates(const service_configuration& service,
                                       const team_configuration& team) const
    {
        if (auto it = check_rate(service_usage_.bucket, service.rate_limit, 1)) {
            return it;
        }
        return check_rate(team_usage_.bucket, team.rate_limit, task_count_);
    }

    std::optional<failure> check_rate(const token_bucket& bucket,
                                      const std::optional<std::uint32_t>& limit,
                                      std::uint32_t count) const
    {
        if (!limit) {
            return std::nullopt;
        }
        const std::uint32_t rate = host_share_of_limit(*limit, board_);
        const time_point ready_at = bucket.refilled(rate, now_).ready_at(count, rate);
        if (ready_at <= now_) {
            return std::nullopt;
        }
        return refuse(error_id::rate_exceeded,
                      "the rate limit of the service or the team is reached", ready_at);
    }

    std::optional<failure> check_targets() const
    {
        if (board_.target_slot_totals->usable > 0 || spare_peer_slots_ > 0) {
            return std::nullopt;
        }
        return refuse(error_id::no_target, "no target has usable slots and no peer has spare slots",
                      now_ + retry_delay);
    }

    std::optional<failure> check_queue(const service_configuration& service) const
    {
        const std::size_t waiting =
            std::min<std::size_t>(service_usage_.open_tasks, board_.queue.size());
        const std::uint32_t share = host_share_of_limit(service.queue_limit, board_);
        if (waiting + task_count_ <= share || waiting == 0) {
            return std::nullopt;
        }
        return refuse(error_id::overloaded, "the queue of the service is full", now_ + retry_delay);
    }

    std::optional<failure> check_deadline() const
    {
        if (content_->deadline == no_deadline) {
            return std::nullopt;
        }
        const duration lateness = predicted_lateness();
        if (lateness <= duration{}) {
            return std::nullopt;
        }
        if (service_usage_.open_tasks == 0 && board_.queue.empty()) {
            // Accepting one request shows whether the service is still that slow.
            return std::nullopt;
        }
        return refuse(error_id::overloaded,
                      "the request or one queued behind it would miss its deadline",
                      now_ + lateness);
    }

    /// Returns by how much the request, or a waiting task that would start after it, is predicted
    /// to start too late; not positive if all of them start in time.
    ///
    /// Tasks start in the order of their latest start. The request therefore waits for all tasks
    /// that have to start before it and delays all tasks that may start later.
    duration predicted_lateness() const
    {
        const time_point start_by = content_->deadline - high_run_time_;
        if (board_.queue.empty() && task_count_ <= free_slots()) {
            return now_ - start_by;
        }
        const std::uint8_t lane = lane_of_request();
        const auto urgency = static_cast<std::uint8_t>(content_->urgency.value_or(default_urgency));
        const duration own_work = expected_run_time_ * task_count_;
        duration work_ahead = board_.queue_backlog->work_before(lane, urgency);
        duration lateness = now_ - start_by;
        bool own_lateness_counted = false;
        const backlog_rank first_rank{
            .lane = lane, .urgency = urgency, .start_by = time_point::min()};
        for (auto it = board_.backlog_by_start.lower_bound(first_rank);
             it != board_.backlog_by_start.end() && it->key.lane == lane &&
             it->key.urgency == urgency;
             ++it) {
            if (!own_lateness_counted && it->key.start_by > start_by) {
                lateness = std::max(
                    lateness, lateness_at(start_by, work_ahead + own_work - expected_run_time_));
                own_lateness_counted = true;
            }
            work_ahead += it->value.work;
            if (own_lateness_counted) {
                lateness = std::max(lateness, lateness_at(it->key.start_by, work_ahead + own_work));
            }
        }
        if (!own_lateness_counted) {
            lateness = std::max(lateness,
                                lateness_at(start_by, work_ahead + own_work - expected_run_time_));
        }
        return lateness;
    }

    /// Returns by how much the slots of the lane are predicted to finish `work` after `at`.
    duration lateness_at(time_point at, duration work) const
    {
        const duration waiting = work - expected_run_time_ * free_slots();
        return waiting * permille / (slots_of_lane() * planned_utilization_permille) - (at - now_);
    }

    std::uint8_t lane_of_request() const
    {
        return is_long(expected_run_time_) ? std::uint8_t{1} : std::uint8_t{0};
    }

    std::uint32_t free_slots() const { return board_.target_slot_totals->free + spare_peer_slots_; }

    /// Returns the number of slots that serve the lane of the request, at least 1.
    std::uint32_t slots_of_lane() const
    {
        const slot_totals& totals = board_.target_slot_totals.get();
        const std::uint32_t own = lane_of_request() == 0
                                      ? totals.usable - std::min(totals.usable, totals.long_running)
                                      : totals.usable / 2;
        return std::max(own + spare_peer_slots_, std::uint32_t{1});
    }

    const request& content_;
    const blackboard& board_;
    time_point now_;
    std::uint32_t task_count_;
    std::uint32_t spare_peer_slots_;
    duration expected_run_time_{};
    duration high_run_time_{};
    service_usage service_usage_;
    team_usage team_usage_;
};

} // namespace

std::optional<failure> admit_all::evaluate(const request& /*content*/, const blackboard& /*board*/,
                                           const clock_reading& /*now*/) const
{
    return std::nullopt;
}

predictive_admission::predictive_admission(std::shared_ptr<const run_time_estimator> run_times)
    : run_times_(std::move(run_times))
{
}

std::optional<failure> predictive_admission::evaluate(const request& content,
                                                      const blackboard& board,
                                                      const clock_reading& now) const
{
    return request_evaluation(content, board, now, *run_times_).evaluate();
}

} // namespace papayafall
