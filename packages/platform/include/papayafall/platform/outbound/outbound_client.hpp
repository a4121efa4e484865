#pragma once

#include "papayafall/core/values/identifiers.hpp"
#include "papayafall/core/values/time.hpp"
#include "papayafall/platform/clock/clock_source.hpp"
#include "papayafall/platform/outbound/connection_pool.hpp"
#include "papayafall/platform/outbound/outbound_message.hpp"

#include <QNetworkAccessManager>
#include <QObject>
#include <QTimer>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace papayafall {

/// Identifies one request of an `outbound_client`; chosen by its user.
using outbound_call_id = basic_number<struct outbound_call_id_tag>;

/// Learns how the requests of an `outbound_client` end.
class outbound_observer {
  public:
    outbound_observer() = default;
    outbound_observer(const outbound_observer&) = delete;
    outbound_observer& operator=(const outbound_observer&) = delete;
    virtual ~outbound_observer() = default;

    /// Called once for each request, in the thread of the client, never from within `send`.
    virtual void on_finished(outbound_call_id call, const outbound_outcome& outcome) = 0;
};

struct outbound_options {
    /// Longest body of a response, in bytes.
    std::size_t max_response_bytes = std::size_t{16} * 1024 * 1024;
    /// Time within which a connection has to be open and the request on its way.
    std::chrono::milliseconds connect_limit{500};
    /// Time after which an unused connection is not used again. It should be shorter than the
    /// time after which servers close unused connections.
    std::chrono::milliseconds idle_limit{2000};

    auto operator<=>(const outbound_options&) const = default;
};

struct outbound_counters {
    std::uint64_t connections_opened = 0;
    std::uint64_t connections_renewed = 0; ///< requests whose connection was given up as silent

    auto operator<=>(const outbound_counters&) const = default;
};

namespace detail {
class outbound_call_table;
class outbound_call;
} // namespace detail

/// Sends requests, a POST at most once, over as many connections as there are requests in
/// progress.
///
/// It belongs to the thread that constructs it and needs an event loop there. Each connection
/// carries one request at a time. After a deadline has passed without an answer, the
/// connections to that server that answered nothing since the request was sent are not used again.
/// Redirects, proxies, cookies, HTTP/2, pipelining and compression are off.
class outbound_client : public QObject {
  public:
    /// @param clock the clock of the requests' deadlines
    outbound_client(const outbound_options& options, const clock_source& clock,
                    outbound_observer& observer);
    ~outbound_client() override;

    /// Sends `request`; the observer learns how it ends.
    /// @param call not in progress at present
    void send(outbound_call_id call, const outbound_request& request);

    /// Gives up a request: it ends at once with `not_sent` or `connection_lost`. An unknown call
    /// is ignored.
    void abandon(outbound_call_id call);

    std::size_t in_progress() const noexcept;

    outbound_counters counters() const noexcept;

  private:
    void start(detail::outbound_call& call);
    void on_reply_finished(outbound_call_id call);
    void on_reply_progress(outbound_call_id call);
    void on_timeout();
    void give_up(detail::outbound_call& call, outbound_failure reason);
    void finish(detail::outbound_call& call, const outbound_outcome& outcome);
    void schedule();

    time_point now() const { return clock_->read().steady; }

    outbound_options options_;
    const clock_source* clock_;
    outbound_observer* observer_;
    connection_pool pool_;
    std::unique_ptr<detail::outbound_call_table> calls_;
    QNetworkAccessManager manager_;
    QTimer timer_;
    time_point timer_due_at_ = no_deadline;
    std::uint64_t renewed_ = 0;
};

} // namespace papayafall
