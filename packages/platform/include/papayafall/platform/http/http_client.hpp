#pragma once

#include "papayafall/core/values/identifiers.hpp"
#include "papayafall/core/values/time.hpp"
#include "papayafall/platform/http/connection_pool.hpp"
#include "papayafall/platform/http/http_message.hpp"

#include <QNetworkAccessManager>
#include <QObject>
#include <QTimer>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace papayafall {

/// Identifies one request of an `http_client`; chosen by its user.
using http_call_id = basic_number<struct http_call_id_tag>;

/// Learns how the requests of an `http_client` end.
class http_observer {
  public:
    http_observer() = default;
    http_observer(const http_observer&) = delete;
    http_observer& operator=(const http_observer&) = delete;
    virtual ~http_observer() = default;

    /// Called once for each request, in the thread of the client, never from within `post`.
    virtual void on_finished(http_call_id call, const http_outcome& outcome) = 0;
};

struct http_client_options {
    /// Longest body of a response, in bytes.
    std::size_t largest_answer = std::size_t{16} * 1024 * 1024;
    /// Time within which a connection has to be open and the request on its way.
    std::chrono::milliseconds connect_limit{500};
    /// Time after which an unused connection is not used again. It should be shorter than the
    /// time after which servers close unused connections.
    std::chrono::milliseconds idle_limit{2000};

    auto operator<=>(const http_client_options&) const = default;
};

struct http_client_counters {
    std::uint64_t connections_opened = 0;
    std::uint64_t connections_renewed = 0; ///< times that a server's connections were given up

    auto operator<=>(const http_client_counters&) const = default;
};

namespace detail {
class http_call_table;
class http_call;
} // namespace detail

/// Sends POST requests, each exactly once, over as many connections as there are requests in
/// progress.
///
/// It belongs to the thread that constructs it and needs an event loop there. Each connection
/// carries one request at a time. After a deadline has passed without an answer no present
/// connection to that server is used again. Redirects, proxies, cookies, HTTP/2, pipelining and
/// compression are off.
class http_client : public QObject {
  public:
    http_client(const http_client_options& options, http_observer& observer);
    ~http_client() override;

    /// Sends `request`; the observer learns how it ends.
    /// @param call not in progress at present
    void post(http_call_id call, const http_request& request);

    /// Gives up a request: it ends at once with `not_sent` or `connection_lost`. An unknown call
    /// is ignored.
    void abandon(http_call_id call);

    std::size_t in_progress() const noexcept;

    http_client_counters counters() const noexcept;

  private:
    void on_reply_finished(http_call_id call);
    void on_reply_progress(http_call_id call);
    void on_timeout();
    void give_up(detail::http_call& call, http_failure reason);
    void finish(detail::http_call& call, const http_outcome& outcome);
    void schedule();

    http_client_options options_;
    http_observer* observer_;
    connection_pool pool_;
    std::unique_ptr<detail::http_call_table> calls_;
    QNetworkAccessManager manager_;
    QTimer timer_;
    time_point wakes_at_ = no_deadline;
    std::uint64_t renewed_ = 0;
};

} // namespace papayafall
