#include "papayafall/daemon/http/caller_listener.hpp"

#include <QSslSocket>

#include <unistd.h>

#include <memory>
#include <utility>

namespace papayafall {

caller_listener::caller_listener(front_end_options options, std::optional<QSslConfiguration> tls,
                                 const front_end_context& context, caller_socket_observer& observer,
                                 QObject* parent)
    : QTcpServer(parent), options_(std::move(options)), tls_(std::move(tls)), context_(context),
      observer_(observer)
{
}

caller_listener::~caller_listener()
{
    abort_all();
}

void caller_listener::stop()
{
    close();
    for (caller_socket& it : sockets_) {
        it.close_when_idle();
    }
}

void caller_listener::abort_all()
{
    for (caller_socket& it : sockets_) {
        it.abort_connection();
    }
}

void caller_listener::enforce_deadlines(time_point now)
{
    for (caller_socket& it : sockets_) {
        it.enforce_deadline(now);
    }
}

void caller_listener::on_connection_closed()
{
    --connections_;
    context_.metrics.count_connection_closed();
}

void caller_listener::incomingConnection(qintptr descriptor)
{
    if (connections_ >= options_.max_connections_per_thread) {
        context_.metrics.count_connection_rejected();
        ::close(static_cast<int>(descriptor));
        return;
    }
    QTcpSocket* transport = make_transport(descriptor);
    if (transport == nullptr) {
        return;
    }
    auto* caller =
        new caller_socket(transport, options_.connection, context_.clock, observer_, this);
    sockets_.push_back(*caller);
    ++connections_;
    context_.metrics.count_connection_opened();
    addPendingConnection(caller);
}

QTcpSocket* caller_listener::make_transport(qintptr descriptor)
{
    if (!tls_) {
        auto transport = std::make_unique<QTcpSocket>();
        return transport->setSocketDescriptor(descriptor) ? transport.release() : nullptr;
    }
    auto transport = std::make_unique<QSslSocket>();
    if (!transport->setSocketDescriptor(descriptor)) {
        return nullptr;
    }
    transport->setSslConfiguration(*tls_);
    transport->startServerEncryption();
    return transport.release();
}

} // namespace papayafall
