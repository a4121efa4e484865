#include "papayafall/daemon/http/caller_listener.hpp"

#include <QSslSocket>

#include <unistd.h>

#include <memory>
#include <utility>

namespace papayafall {

caller_listener::caller_listener(front_end_options options, std::optional<QSslConfiguration> tls,
                                 const front_end_links& links, caller_socket_observer& observer,
                                 QObject* parent)
    : QTcpServer(parent), options_(std::move(options)), tls_(std::move(tls)), links_(links),
      observer_(observer)
{
}

caller_listener::~caller_listener()
{
    cut_all();
}

void caller_listener::stop()
{
    close();
    for (caller_socket& it : sockets_) {
        it.close_when_idle();
    }
}

void caller_listener::cut_all()
{
    for (caller_socket& it : sockets_) {
        it.cut();
    }
}

void caller_listener::check_deadlines(time_point now)
{
    for (caller_socket& it : sockets_) {
        it.check_deadline(now);
    }
}

void caller_listener::count_closed()
{
    --connections_;
    links_.metrics.count_closed();
}

void caller_listener::incomingConnection(qintptr descriptor)
{
    if (connections_ >= options_.max_connections_per_thread) {
        links_.metrics.count_rejected();
        ::close(static_cast<int>(descriptor));
        return;
    }
    QTcpSocket* transport = make_transport(descriptor);
    if (transport == nullptr) {
        return;
    }
    auto* caller = new caller_socket(transport, options_.connection, links_.clock, observer_, this);
    sockets_.push_back(*caller);
    ++connections_;
    links_.metrics.count_opened();
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
