#pragma once

#include "papayafall/core/engine/sinks.hpp"
#include "papayafall/daemon/platform/platform_agent.hpp"
#include "papayafall/platform/retry/retry_delay.hpp"

#include <QTimer>

#include <map>
#include <optional>

namespace papayafall {

/// Claims and releases seats under the host's session.
///
/// A claim acquires the lock on the seat's key and then reads the key: its lock count tells whether
/// an earlier holder may have started tasks for the seat. If the result of a claim stays unknown,
/// the lock is released so that the seat does not stay locked without a holder.
class seat_claimer {
  public:
    seat_claimer(const platform_agent_options& options, key_value_store& store,
                 const clock_source& clock, event_sink& events);

    /// Sets the session for subsequent calls; operations in progress under another session are
    /// dropped.
    void set_session(const session_id& session);

    void claim(const seat_id& seat);

    void release(const seat_id& seat);

  private:
    enum class operation_kind : std::uint8_t { claim, release };

    /// Claim or release of a seat, including its retries.
    struct seat_operation {
        operation_kind kind = operation_kind::claim;
        /// Identifies the operation, so that replies to one that was replaced are ignored.
        std::uint64_t number = 0;
        std::uint32_t attempts = 0;
        bool in_flight = false;
        bool may_hold_lock = false; ///< an attempt may have acquired the lock
        time_point next_attempt_at{};
        std::optional<operation_kind> follow_up; ///< requested while this operation was in flight
    };

    void add_operation(const seat_id& seat, operation_kind kind);
    void finish(const seat_id& seat);
    void start_operations();
    void start(const seat_id& seat, seat_operation& operation);
    void schedule();
    seat_operation* find(const seat_id& seat, std::uint64_t number);
    void on_acquired(const seat_id& seat, const platform_result<lock_outcome>& result);
    void on_claim_failed(const seat_id& seat, const platform_failure& failure);
    void on_released(const seat_id& seat, const platform_result<lock_outcome>& result);
    void read_back(const seat_id& seat);
    void on_read_back(const seat_id& seat, const platform_result<read_result>& result);
    void schedule_retry(seat_operation& operation);
    lock_request make_request(const seat_id& seat) const;

    const platform_agent_options& options_;
    key_value_store& store_;
    const clock_source& clock_;
    event_sink& events_;
    session_id session_;
    std::map<seat_id, seat_operation> operations_;
    std::uint64_t last_operation_number_ = 0;
    retry_delay retry_delay_;
    QTimer timer_;
};

} // namespace papayafall
