#pragma once

#include "papayafall/daemon/peers/qt_message_authenticator.hpp"
#include "papayafall/wire/peer/frame.hpp"
#include "papayafall/wire/peer/message_limits.hpp"
#include "support/peer_process.hpp"

#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>

#include <memory>
#include <optional>
#include <string>

namespace papayafall {

/// A peer that a test controls frame by frame over a blocking socket, to send invalid input.
class raw_peer {
  public:
    static constexpr int wait_timeout_ms = 10'000;

    raw_peer() { server_.listen(QHostAddress::LocalHost); }

    endpoint link() const { return {"127.0.0.1", server_.serverPort()}; }

    /// Accepts the next connection of the process under test.
    bool accept()
    {
        if (!server_.waitForNewConnection(wait_timeout_ms)) {
            return false;
        }
        socket_.reset(server_.nextPendingConnection());
        socket_->setParent(nullptr);
        start(link_role::responder);
        return true;
    }

    /// Connects to the process under test.
    bool connect(const endpoint& address)
    {
        socket_ = std::make_unique<QTcpSocket>();
        socket_->connectToHost(QHostAddress::LocalHost, address.port);
        start(link_role::initiator);
        return socket_->waitForConnected(wait_timeout_ms);
    }

    /// Exchanges hellos; returns whether the process under test sent its own.
    bool complete_handshake(const peer_id& self)
    {
        return role_ == link_role::initiator ? initiate_handshake(self)
                                             : respond_to_handshake(self);
    }

    std::string encode(const peer_message& message)
    {
        std::string frame = encode_frame(message, sending_, authenticator_, time_point{});
        ++sending_.sequence;
        return frame;
    }

    void write(const peer_message& message) { write_bytes(encode(message)); }

    void write_bytes(const std::string& data)
    {
        socket_->write(data.data(), static_cast<qint64>(data.size()));
        socket_->waitForBytesWritten(wait_timeout_ms);
    }

    /// Reads the next message; empty when the link was closed or the wait timed out.
    std::optional<peer_message> read()
    {
        while (true) {
            const std::optional<std::size_t> size = frame_size(received_, max_frame_size);
            if (size && received_.size() >= *size) {
                return take(*size);
            }
            if (!socket_->waitForReadyRead(wait_timeout_ms)) {
                return std::nullopt;
            }
            received_.append(socket_->readAll().toStdString());
        }
    }

    /// Reads the next message other than a heartbeat.
    std::optional<peer_message> read_non_heartbeat()
    {
        while (true) {
            std::optional<peer_message> message = read();
            if (!message || !std::holds_alternative<link_heartbeat>(*message)) {
                return message;
            }
        }
    }

    /// Waits for the process under test to close the link; returns whether it did.
    bool closed_by_peer()
    {
        while (socket_->state() == QAbstractSocket::ConnectedState) {
            if (!socket_->waitForReadyRead(wait_timeout_ms)) {
                break;
            }
            socket_->readAll();
        }
        return socket_->state() != QAbstractSocket::ConnectedState;
    }

    void abort() { socket_->abort(); }

  private:
    bool initiate_handshake(const peer_id& self)
    {
        write(hello{self, zone_name("north"), nonce_});
        sending_.initiator_nonce = nonce_;
        receiving_.initiator_nonce = nonce_;
        const std::optional<peer_message> first = read();
        if (!first) {
            return false;
        }
        sending_.responder_nonce = std::get<hello>(*first).nonce;
        receiving_.responder_nonce = sending_.responder_nonce;
        return true;
    }

    bool respond_to_handshake(const peer_id& self)
    {
        const std::optional<peer_message> first = read();
        if (!first) {
            return false;
        }
        sending_.initiator_nonce = std::get<hello>(*first).nonce;
        write(hello{self, zone_name("north"), nonce_});
        sending_.responder_nonce = nonce_;
        receiving_.initiator_nonce = sending_.initiator_nonce;
        receiving_.responder_nonce = nonce_;
        return true;
    }

    void start(link_role role)
    {
        role_ = role;
        sending_ = {.sender = role};
        receiving_ = {.sender = role == link_role::initiator ? link_role::responder
                                                             : link_role::initiator};
        received_.clear();
    }

    peer_message take(std::size_t size)
    {
        peer_message message = decode_frame(std::string_view(received_).substr(0, size), receiving_,
                                            authenticator_, time_point{});
        ++receiving_.sequence;
        received_.erase(0, size);
        return message;
    }

    qt_message_authenticator authenticator_{test_key};
    link_nonce nonce_{7, 7, 7};
    link_role role_ = link_role::initiator;
    frame_context sending_;
    frame_context receiving_;
    std::string received_;
    QTcpServer server_;
    std::unique_ptr<QTcpSocket> socket_;
};

} // namespace papayafall
