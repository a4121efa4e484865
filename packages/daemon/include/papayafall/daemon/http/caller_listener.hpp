#pragma once

#include "papayafall/daemon/http/caller_socket.hpp"
#include "papayafall/daemon/http/front_end_context.hpp"
#include "papayafall/daemon/http/front_end_options.hpp"

#include <boost/intrusive/list.hpp>

#include <QSslConfiguration>
#include <QTcpServer>

#include <cstddef>
#include <optional>

namespace papayafall {

/// Accepts callers' connections for one front-end thread and enforces the connection limit and the
/// deadlines of each connection.
class caller_listener final : public QTcpServer {
  public:
    /// @param tls TLS configuration; connections are plain TCP if empty
    /// @param observer must outlive this object
    caller_listener(front_end_options options, std::optional<QSslConfiguration> tls,
                    const front_end_context& context, caller_socket_observer& observer,
                    QObject* parent);

    /// Aborts the connections that are still open.
    ~caller_listener() override;

    /// Replaces the TLS configuration; applies to connections accepted from now on.
    void set_tls(const QSslConfiguration& tls) { tls_ = tls; }

    /// Closes the listening socket and every connection without a request in progress.
    void stop();

    /// Aborts every connection.
    void abort_all();

    /// Rejects requests and aborts connections whose deadline has passed at `now`.
    void enforce_deadlines(time_point now);

    /// Updates the connection count; must be called once for each connection that has closed.
    void on_connection_closed();

    /// Number of open connections.
    std::size_t connections() const noexcept { return connections_; }

  protected:
    void incomingConnection(qintptr descriptor) override;

  private:
    /// Creates a plain or TLS socket for an accepted connection.
    /// @return nullptr if Qt does not accept the descriptor
    QTcpSocket* make_transport(qintptr descriptor);

    const front_end_options options_;
    std::optional<QSslConfiguration> tls_;
    const front_end_context context_;
    caller_socket_observer& observer_;
    boost::intrusive::list<caller_socket, boost::intrusive::base_hook<socket_list_hook>,
                           boost::intrusive::constant_time_size<false>>
        sockets_;
    std::size_t connections_ = 0;
};

} // namespace papayafall
