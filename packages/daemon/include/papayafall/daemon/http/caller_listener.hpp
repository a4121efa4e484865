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

/// Accepts callers' connections for one thread, and keeps them within their number and deadlines.
class caller_listener final : public QTcpServer {
  public:
    /// @param tls where given, callers have to speak TLS
    /// @param observer must outlive this object
    caller_listener(front_end_options options, std::optional<QSslConfiguration> tls,
                    const front_end_context& context, caller_socket_observer& observer,
                    QObject* parent);

    /// Cuts the connections that are still open.
    ~caller_listener() override;

    /// Uses other keys for the connections that follow.
    void set_tls(const QSslConfiguration& tls) { tls_ = tls; }

    /// Closes the listening socket and every connection without a request in progress.
    void stop();

    /// Cuts every connection.
    void abort_all();

    /// Ends what took too long.
    void enforce_deadlines(time_point now);

    /// Has to be called when a connection was closed.
    void on_connection_closed();

    std::size_t connections() const noexcept { return connections_; }

  protected:
    void incomingConnection(qintptr descriptor) override;

  private:
    /// Makes a socket of `descriptor`; nullptr when that fails.
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
