#include "papayafall/daemon/platform/seat_claimer.hpp"

#include "agent_timing.hpp"

#include "papayafall/platform/store/keys.hpp"
#include "papayafall/wire/configuration/seat_record.hpp"

#include <algorithm>

namespace papayafall {

namespace {

/// Maximum number of seat calls in progress, which leaves connections for the session and the host
/// list.
constexpr std::ptrdiff_t max_calls_in_flight = 3;
constexpr std::uint32_t max_claim_attempts = 3;

} // namespace

seat_claimer::seat_claimer(const platform_agent_options& options, key_value_store& store,
                           const clock_source& clock, event_sink& events)
    : options_(options), store_(store), clock_(clock), events_(events),
      delay_(detail::make_retry_delay(options, 2))
{
    timer_.setSingleShot(true);
    QObject::connect(&timer_, &QTimer::timeout, &timer_, [this] { start_tasks(); });
}

void seat_claimer::set_session(const session_id& session)
{
    if (session == session_) {
        return;
    }
    session_ = session;
    tasks_.clear();
}

void seat_claimer::claim(const seat_id& seat)
{
    add_task(seat, task_kind::claim);
}

void seat_claimer::release(const seat_id& seat)
{
    add_task(seat, task_kind::release);
}

void seat_claimer::add_task(const seat_id& seat, task_kind kind)
{
    if (session_.empty()) {
        return;
    }
    const auto it = tasks_.find(seat);
    if (it != tasks_.end() && it->second.in_flight) {
        const bool same = it->second.kind == kind;
        it->second.follow_up = same ? std::nullopt : std::optional(kind);
        return;
    }
    tasks_[seat] = {.kind = kind, .number = ++last_number_};
    start_tasks();
}

void seat_claimer::finish(const seat_id& seat)
{
    const std::optional<task_kind> follow_up = tasks_[seat].follow_up;
    tasks_.erase(seat);
    if (follow_up) {
        add_task(seat, *follow_up);
    }
}

void seat_claimer::start_tasks()
{
    const time_point now = clock_.read().steady;
    auto in_flight = std::count_if(tasks_.begin(), tasks_.end(),
                                   [](const auto& it) { return it.second.in_flight; });
    for (auto& [seat, task] : tasks_) {
        if (task.in_flight || task.next_try > now) {
            continue;
        }
        if (in_flight++ >= max_calls_in_flight) {
            return;
        }
        start(seat, task);
    }
    schedule();
}

void seat_claimer::schedule()
{
    time_point next = no_deadline;
    for (const auto& [seat, task] : tasks_) {
        if (!task.in_flight) {
            next = std::min(next, task.next_try);
        }
    }
    if (next != no_deadline) {
        detail::start_timer(timer_, next, clock_);
    }
}

void seat_claimer::start(const seat_id& seat, seat_task& task)
{
    task.in_flight = true;
    ++task.attempts;
    const bool is_claim = task.kind == task_kind::claim;
    const auto on_reply = is_claim ? &seat_claimer::on_acquired : &seat_claimer::on_released;
    auto reply = [this, seat, number = task.number,
                  on_reply](const platform_result<lock_outcome>& result) {
        if (find(seat, number) != nullptr) {
            (this->*on_reply)(seat, result);
        }
        start_tasks();
    };
    if (is_claim) {
        store_.acquire(make_request(seat), reply);
        return;
    }
    store_.release(make_request(seat), reply);
}

seat_claimer::seat_task* seat_claimer::find(const seat_id& seat, std::uint64_t number)
{
    const auto it = tasks_.find(seat);
    return it != tasks_.end() && it->second.number == number ? &it->second : nullptr;
}

void seat_claimer::on_acquired(const seat_id& seat, const platform_result<lock_outcome>& result)
{
    if (const auto* failure = std::get_if<platform_failure>(&result)) {
        on_claim_failed(seat, *failure);
        return;
    }
    if (std::get<lock_outcome>(result) == lock_outcome::refused) {
        finish(seat);
        events_.post(seat_refused{seat});
        return;
    }
    read_back(seat);
}

void seat_claimer::on_claim_failed(const seat_id& seat, const platform_failure& failure)
{
    seat_task& task = tasks_[seat];
    task.may_hold_lock =
        task.may_hold_lock || failure.effect == write_effect::may_have_been_applied;
    if (task.attempts < max_claim_attempts && !task.follow_up) {
        schedule_retry(task);
        return;
    }
    if (task.may_hold_lock) {
        task.follow_up = task_kind::release;
    }
    finish(seat);
}

void seat_claimer::read_back(const seat_id& seat)
{
    auto reply = [this, seat,
                  number = tasks_[seat].number](const platform_result<read_result>& result) {
        if (find(seat, number) != nullptr) {
            on_read_back(seat, result);
        }
        start_tasks();
    };
    store_.get(keys::seat(seat), reply);
}

void seat_claimer::on_read_back(const seat_id& seat, const platform_result<read_result>& result)
{
    const bool release_requested = tasks_[seat].follow_up == task_kind::release;
    finish(seat);
    if (release_requested) {
        return;
    }
    delay_.reset();
    const auto* read = std::get_if<read_result>(&result);
    if (read != nullptr && (!read->found || read->found->holder != session_)) {
        events_.post(seat_refused{seat}); // the session ended between the two calls
        return;
    }
    if (read != nullptr && read->found->lock_count == 1) {
        events_.post(seat_granted{.seat = seat, .generation = read->found->lock_count});
        return;
    }
    events_.post(seat_granted{.seat = seat,
                              .inherited_at = clock_.read().wall,
                              .generation = read == nullptr ? 0 : read->found->lock_count});
}

void seat_claimer::on_released(const seat_id& seat, const platform_result<lock_outcome>& result)
{
    if (std::holds_alternative<platform_failure>(result) && !tasks_[seat].follow_up) {
        schedule_retry(tasks_[seat]);
        return;
    }
    delay_.reset();
    finish(seat);
}

void seat_claimer::schedule_retry(seat_task& task)
{
    task.in_flight = false;
    task.next_try = delay_.next(clock_.read().steady);
}

lock_request seat_claimer::make_request(const seat_id& seat) const
{
    const seat_record record{
        .holder = options_.host,
        .zone = options_.zone,
        .incarnation = options_.incarnation,
        .claimed_at = clock_.read().wall,
    };
    return {keys::seat(seat), encode_seat_record(record), session_};
}

} // namespace papayafall
