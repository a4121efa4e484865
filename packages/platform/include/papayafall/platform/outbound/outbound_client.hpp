#pragma once

#include "papayafall/core/values/identifiers.hpp"
#include "papayafall/core/values/time.hpp"
#include "papayafall/platform/clock/clock_source.hpp"
#include "papayafall/platform/outbound/outbound_message.hpp"

#include <QObject>
#include <QTimer>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace papayafall {

/// Identifies a request of an `outbound_client`; chosen by the code that sends it.
using outbound_call_id = basic_number<struct outbound_call_id_tag>;

/// Receives the outcomes of the requests of an `outbound_client`.
class outbound_observer {
  public:
    outbound_observer() = default;
    outbound_observer(const outbound_observer&) = delete;
    outbound_observer& operator=(const outbound_observer&) = delete;
    virtual ~outbound_observer() = default;

    /// Called once for each request, on the client's thread, never from within `send`.
    virtual void on_finished(outbound_call_id call, const outbound_outcome& outcome) = 0;
};

struct outbound_options {
    /// Maximum size of a response body, in bytes.
    std::size_t max_response_bytes = std::size_t{16} * 1024 * 1024;
    /// Time within which the connection has to be established and the first byte of the request
    /// sent.
    std::chrono::milliseconds connect_timeout{500};
    /// Time after which an idle connection is not reused. It should be shorter than the time after
    /// which servers close idle connections.
    std::chrono::milliseconds max_idle_time{2000};

    auto operator<=>(const outbound_options&) const = default;
};

struct outbound_counters {
    std::uint64_t connections_opened = 0;
    /// Requests that timed out, after which the silent connections to their server were discarded.
    std::uint64_t connections_renewed = 0;

    auto operator<=>(const outbound_counters&) const = default;
};

struct http_reply_message;
enum class exchange_end : std::uint8_t;

namespace detail {
class idle_connections;
class outbound_call_table;
class outbound_call;
} // namespace detail

/// HTTP client that uses one connection for each request in progress and sends each request at most
/// once.
///
/// Must be used only on the thread that constructs it, which must run an event loop. If a deadline
/// passes without a response, the connections to that server that have carried no response since
/// the request was sent are not reused. Redirects are not followed.
class outbound_client : public QObject {
  public:
    /// @param clock clock of the requests' deadlines; must outlive this object
    /// @param observer receives the outcomes; must outlive this object
    outbound_client(const outbound_options& options, const clock_source& clock,
                    outbound_observer& observer);
    ~outbound_client() override;

    /// Sends `request`; the outcome is reported to the observer.
    /// @param call identifier that no request in progress has
    void send(outbound_call_id call, const outbound_request& request);

    /// Aborts a request: it ends at once with `not_sent` or `connection_lost`. An unknown
    /// identifier is ignored.
    void abandon(outbound_call_id call);

    std::size_t in_progress() const noexcept;

    outbound_counters counters() const noexcept;

  private:
    void on_exchange_ended(outbound_call_id call, exchange_end end,
                           const http_reply_message& reply);
    void on_timeout();
    void give_up(detail::outbound_call& call, outbound_failure reason);
    void finish(detail::outbound_call& call, const outbound_outcome& outcome);
    void schedule();

    time_point now() const { return clock_->read().steady; }

    outbound_options options_;
    const clock_source* clock_;
    outbound_observer* observer_;
    std::unique_ptr<detail::idle_connections> idle_;
    std::unique_ptr<detail::outbound_call_table> calls_;
    QTimer timer_;
    time_point timer_due_at_ = no_deadline;
    std::uint64_t connections_opened_ = 0;
    std::uint64_t connections_renewed_ = 0;
};

} // namespace papayafall
