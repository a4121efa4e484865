#pragma once

#include "papayafall/daemon/http/caller_listener.hpp"
#include "papayafall/daemon/http/caller_request.hpp"
#include "papayafall/daemon/http/caller_socket.hpp"
#include "papayafall/daemon/http/front_end_context.hpp"
#include "papayafall/daemon/http/front_end_options.hpp"

#include <boost/intrusive/set.hpp>

#include <QAbstractHttpServer>
#include <QSslConfiguration>
#include <QTimer>

#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <vector>

namespace papayafall {

/// Partition of the call ids among front-end threads: each thread assigns only ids that are equal
/// to `thread_index` modulo `thread_count`, so that an answer can be routed by its call id.
struct call_id_partition {
    std::uint64_t thread_index = 0; ///< zero-based index of the thread
    std::uint64_t thread_count = 1; ///< number of front-end threads

    auto operator<=>(const call_id_partition&) const = default;
};

/// Decodes callers' requests into events and encodes the answers, on one traffic thread.
///
/// May be created on any thread and is then moved to its traffic thread. From then on, every public
/// member must be called on that thread.
class caller_server final : public QAbstractHttpServer, public caller_socket_observer {
  public:
    caller_server(front_end_options options, const front_end_context& context,
                  call_id_partition partition);
    ~caller_server() override;

    /// Starts accepting connections.
    /// @param descriptor listening socket; this object takes ownership
    /// @param tls TLS configuration; connections are plain TCP if empty
    void open(int descriptor, std::optional<QSslConfiguration> tls);

    /// Executes `answer_call`, `issue_tickets` and `publish_status`; ignores other actions.
    void handle(const action& requested);

    /// Replaces the TLS configuration; applies to connections accepted from now on.
    void set_tls(const QSslConfiguration& tls);

    /// Stops accepting connections and closes each open one after its request in progress.
    /// @param on_drained called once, when all connections have closed
    void stop_accepting(std::function<void()> on_drained);

    /// Aborts every connection and destroys all sockets.
    void close();

    void on_request_rejected(caller_socket& caller, const frame_rejected& reason) override;
    void on_closed(caller_socket& caller) override;

  protected:
    bool handleRequest(const QHttpServerRequest& incoming, QTcpSocket* socket) override;
    void missingHandler(const QHttpServerRequest& incoming, QTcpSocket* socket) override;

  private:
    /// Key extractor of `call_index`.
    struct call_key {
        using type = call_id;

        call_id operator()(const caller_socket& it) const noexcept { return it.call().call; }
    };

    using call_index =
        boost::intrusive::set<caller_socket, boost::intrusive::base_hook<call_index_hook>,
                              boost::intrusive::constant_time_size<false>,
                              boost::intrusive::key_of_value<call_key>>;

    /// Handles each kind of decoded request.
    class request_visitor;

    /// Decodes and handles a request; responds with an error if it cannot be decoded.
    void serve(caller_socket& caller, const http_request& incoming);
    /// Assigns a call id to the request on `caller` and indexes the socket by it.
    call_id register_call(caller_socket& caller, answer_format format);
    /// Removes the socket that waits for `call` from the index.
    /// @return nullptr if the caller has disconnected
    caller_socket* take_call(call_id call);
    void send_answer(call_id call, const answer& result);
    void send_tickets(call_id call, const std::vector<ticket>& tickets);
    /// @param result metric label: the name of an error, or "ok"
    void respond(caller_socket& caller, const http_response& response, std::string_view result);
    void respond(caller_socket& caller, const failure& reason);
    /// Calls the callback of `stop_accepting` if no connection is open.
    void notify_if_drained();

    time_point now() const { return context_.clock.read().steady; }

    http_response health_page() const;
    http_response readiness_page() const;
    http_response metrics_page() const;
    http_response status_page() const;

    const front_end_options options_;
    const front_end_context context_;
    const call_id_partition partition_;
    std::uint64_t next_call_ = 1;
    caller_listener* listener_ = nullptr;
    QTimer* deadline_timer_ = nullptr;
    call_index calls_;
    std::optional<status_snapshot> status_;
    time_point status_valid_until_{};
    std::function<void()> on_drained_;
};

} // namespace papayafall
