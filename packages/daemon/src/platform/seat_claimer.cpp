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
      retry_delay_(detail::make_retry_delay(options, 2))
{
    timer_.setSingleShot(true);
    QObject::connect(&timer_, &QTimer::timeout, &timer_, [this] { start_operations(); });
}

void seat_claimer::set_session(const session_id& session)
{
    if (session == session_) {
        return;
    }
    session_ = session;
    operations_.clear();
}

void seat_claimer::claim(const seat_id& seat)
{
    add_operation(seat, operation_kind::claim);
}

void seat_claimer::release(const seat_id& seat)
{
    add_operation(seat, operation_kind::release);
}

void seat_claimer::add_operation(const seat_id& seat, operation_kind kind)
{
    if (session_.empty()) {
        return;
    }
    const auto it = operations_.find(seat);
    if (it != operations_.end() && it->second.in_flight) {
        const bool same = it->second.kind == kind;
        it->second.follow_up = same ? std::nullopt : std::optional(kind);
        return;
    }
    operations_[seat] = {.kind = kind, .number = ++last_operation_number_};
    start_operations();
}

void seat_claimer::finish(const seat_id& seat)
{
    const std::optional<operation_kind> follow_up = operations_[seat].follow_up;
    operations_.erase(seat);
    if (follow_up) {
        add_operation(seat, *follow_up);
    }
}

void seat_claimer::start_operations()
{
    const time_point now = clock_.read().steady;
    auto in_flight = std::count_if(operations_.begin(), operations_.end(),
                                   [](const auto& it) { return it.second.in_flight; });
    for (auto& [seat, operation] : operations_) {
        if (operation.in_flight || operation.next_attempt_at > now) {
            continue;
        }
        if (in_flight++ >= max_calls_in_flight) {
            return;
        }
        start(seat, operation);
    }
    schedule();
}

void seat_claimer::schedule()
{
    time_point next = no_deadline;
    for (const auto& [seat, operation] : operations_) {
        if (!operation.in_flight) {
            next = std::min(next, operation.next_attempt_at);
        }
    }
    if (next != no_deadline) {
        detail::start_timer(timer_, next, clock_);
    }
}

void seat_claimer::start(const seat_id& seat, seat_operation& operation)
{
    operation.in_flight = true;
    ++operation.attempts;
    const bool is_claim = operation.kind == operation_kind::claim;
    const auto on_reply = is_claim ? &seat_claimer::on_acquired : &seat_claimer::on_released;
    auto reply = [this, seat, number = operation.number,
                  on_reply](const platform_result<lock_outcome>& result) {
        if (find(seat, number) != nullptr) {
            (this->*on_reply)(seat, result);
        }
        start_operations();
    };
    if (is_claim) {
        store_.acquire(make_request(seat), reply);
        return;
    }
    store_.release(make_request(seat), reply);
}

seat_claimer::seat_operation* seat_claimer::find(const seat_id& seat, std::uint64_t number)
{
    const auto it = operations_.find(seat);
    return it != operations_.end() && it->second.number == number ? &it->second : nullptr;
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
    seat_operation& operation = operations_[seat];
    operation.may_hold_lock =
        operation.may_hold_lock || failure.effect == write_effect::may_have_been_applied;
    if (operation.attempts < max_claim_attempts && !operation.follow_up) {
        schedule_retry(operation);
        return;
    }
    if (operation.may_hold_lock) {
        operation.follow_up = operation_kind::release;
    }
    finish(seat);
}

void seat_claimer::read_back(const seat_id& seat)
{
    auto reply = [this, seat,
                  number = operations_[seat].number](const platform_result<read_result>& result) {
        if (find(seat, number) != nullptr) {
            on_read_back(seat, result);
        }
        start_operations();
    };
    store_.get(keys::seat(seat), reply);
}

void seat_claimer::on_read_back(const seat_id& seat, const platform_result<read_result>& result)
{
    const bool release_requested = operations_[seat].follow_up == operation_kind::release;
    finish(seat);
    if (release_requested) {
        return;
    }
    retry_delay_.reset();
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
    if (std::holds_alternative<platform_failure>(result) && !operations_[seat].follow_up) {
        schedule_retry(operations_[seat]);
        return;
    }
    retry_delay_.reset();
    finish(seat);
}

void seat_claimer::schedule_retry(seat_operation& operation)
{
    operation.in_flight = false;
    operation.next_attempt_at = retry_delay_.next(clock_.read().steady);
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
