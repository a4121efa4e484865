#pragma once

#include "papayafall/core/errors/exception.hpp"
#include "papayafall/daemon/jobs/job_links.hpp"
#include "papayafall/daemon/logging/log.hpp"
#include "papayafall/platform/clock/clock_source.hpp"
#include "papayafall/platform/http/socket_options.hpp"

#include <QHostAddress>
#include <QNetworkProxy>
#include <QTcpSocket>

#include <string>
#include <utility>

namespace papayafall::jobs {

/// A TCP connection that carries framed messages, with heartbeats and silence detection.
class job_links::link {
  public:
    link(job_links& owner, QTcpSocket* socket)
        : owner_(owner), number_(owner.last_link_number_.next()), socket_(socket)
    {
        owner.last_link_number_ = number_;
        last_received_at_ = boot_now();
        QObject::connect(socket_, &QTcpSocket::readyRead, &context_, [this] { receive(); });
        QObject::connect(
            socket_, &QTcpSocket::errorOccurred, &context_, [this] { close("connection_ended"); },
            Qt::QueuedConnection);
    }

    link(const link&) = delete;
    link& operator=(const link&) = delete;

    virtual ~link()
    {
        socket_->disconnect();
        socket_->abort();
        socket_->deleteLater();
    }

    link_number number() const noexcept { return number_; }

    bool closed() const noexcept { return closed_; }

    void write(const job_message& message)
    {
        const time_point now = steady_now();
        write_frame(encode_job_frame(message, now), now);
    }

    /// Sends a message whose size depends on what callers or operators have sent.
    /// @return false if it exceeds the limits of a message; logged
    bool try_write(const job_message& message)
    {
        try {
            write(message);
            return true;
        } catch (const message_error& ec) {
            write_log(log_level::error, "message not sent to a host",
                      {{"host", peer_.text()}, {"error", ec.what()}});
            return false;
        }
    }

    /// Sends an encoded message.
    void write_frame(const std::string& frame, time_point now)
    {
        if (closed_ || socket_->state() != QAbstractSocket::ConnectedState) {
            return;
        }
        socket_->write(frame.data(), static_cast<qint64>(frame.size()));
        socket_->flush();
        last_written_at_ = now;
    }

    /// @param boot_time  `boot_now()`, read once for all links
    void on_tick(time_point now, time_point boot_time)
    {
        if (silence_timed_out(boot_time)) {
            close("silent");
        } else if (now >= last_written_at_ + owner_.options_.heartbeat_period) {
            write(link_keepalive{});
        }
    }

    void close(const char* reason)
    {
        if (closed_) {
            return;
        }
        closed_ = true;
        socket_->disconnect();
        socket_->abort();
        on_closed(reason);
    }

  protected:
    /// Tells the other end what the operators have asked for, as far as it is known here.
    void write_operator_requests()
    {
        if (owner_.configuration_version_ > 0) {
            write(link_configuration_version{owner_.configuration_version_});
        }
        for (const auto& [zone, it] : owner_.evacuations_) {
            write(link_evacuation{it});
        }
    }

    void set_peer(const host_name& host) { peer_ = host; }

    job_links& owner() const noexcept { return owner_; }

    QTcpSocket& socket() const noexcept { return *socket_; }

    virtual void on_message(const job_message& message) = 0;
    virtual void on_closed(const char* reason) = 0;

  private:
    /// Whether the other end may treat the link as lost by now. Uses the boot-time clock, so that
    /// the time of a suspension counts.
    bool silence_timed_out(time_point boot_time) const
    {
        return boot_time >= last_received_at_ + owner_.options_.silence_timeout;
    }

    /// Handles the messages that go in both directions.
    /// @return false if the message is another one
    bool handle_common_message(const job_message& message)
    {
        if (const auto* it = std::get_if<link_configuration_version>(&message)) {
            owner_.events_.post(configuration_offered{number_, it->version});
            return true;
        }
        if (std::holds_alternative<link_configuration_request>(message)) {
            owner_.events_.post(configuration_requested{number_});
            return true;
        }
        if (const auto* it = std::get_if<link_configuration>(&message)) {
            owner_.events_.post(configuration_read{it->configuration, peer_});
            return true;
        }
        if (const auto* it = std::get_if<link_task_crashes>(&message)) {
            owner_.events_.post(task_crashes_reported{it->task, it->crashes});
            return true;
        }
        if (const auto* it = std::get_if<link_cancellation>(&message)) {
            owner_.events_.post(job_cancellation_reported{it->cancellation});
            return true;
        }
        if (const auto* it = std::get_if<link_cancellation_request>(&message)) {
            owner_.events_.post(job_cancellation_requested{number_, it->cancellation});
            return true;
        }
        if (const auto* it = std::get_if<link_cancellation_answer>(&message)) {
            owner_.events_.post(job_cancellation_answered{peer_, it->job, it->found});
            return true;
        }
        if (const auto* it = std::get_if<link_evacuation>(&message)) {
            owner_.events_.post(zone_evacuation_reported{it->request, peer_});
            return true;
        }
        return false;
    }

    void receive()
    {
        const time_point boot_time = boot_now();
        if (silence_timed_out(boot_time)) {
            close("silent"); // buffered data was sent before the other end gave the link up
            return;
        }
        const QByteArray received = socket_->readAll();
        receive_buffer_.append(received.data(), static_cast<std::size_t>(received.size()));
        const time_point now = steady_now();
        last_received_at_ = boot_time;
        std::size_t consumed = 0;
        try {
            while (!closed_) {
                const std::string_view rest = std::string_view(receive_buffer_).substr(consumed);
                const auto size = job_frame_size(rest);
                if (!size || rest.size() < *size) {
                    break;
                }
                const job_message message = decode_job_frame(rest.substr(0, *size), now);
                if (!handle_common_message(message)) {
                    on_message(message);
                }
                consumed += *size;
            }
            receive_buffer_.erase(0, consumed);
        } catch (const message_error& ec) {
            write_log(log_level::warning, "peer message refused", {{"error", ec.what()}});
            close("malformed");
        }
    }

    job_links& owner_;
    link_number number_;
    host_name peer_; ///< empty before the hello
    QTcpSocket* socket_;
    QObject context_; ///< drops the signals of the socket that are still queued at the end
    std::string receive_buffer_;
    time_point last_received_at_{};
    time_point last_written_at_{};
    bool closed_ = false;
};

/// A link that this host opened and delegates jobs over.
class job_links::outgoing_link : public job_links::link {
  public:
    outgoing_link(job_links& owner, const host_entry& entry)
        : link(owner, new QTcpSocket()), entry_(entry)
    {
        socket().setProxy(QNetworkProxy::NoProxy);
        QObject::connect(&socket(), &QTcpSocket::connected, [this] {
            set_socket_options(socket());
            write(link_hello{this->owner().options_.host, this->owner().options_.incarnation});
        });
        socket().connectToHost(QHostAddress(QString::fromStdString(entry.link.address)),
                               entry.link.port);
    }

    const host_entry& entry() const noexcept { return entry_; }

    bool handshake_done() const noexcept { return handshake_done_; }

    time_point reconnect_at() const noexcept { return reconnect_at_; }

  private:
    void on_message(const job_message& message) override
    {
        if (const auto* it = std::get_if<link_hello>(&message)) {
            handshake_done_ = true;
            set_peer(it->host);
            owner().events_.post(peer_connected{it->host, it->incarnation, number()});
            write_operator_requests();
        }
        if (const auto* it = std::get_if<link_load>(&message)) {
            owner().events_.post(load_reported{entry_.host, it->load});
        }
        if (const auto* it = std::get_if<link_outcome>(&message)) {
            owner().events_.post(delegation_answered{it->delegation, it->outcome, it->refusal});
        }
    }

    void on_closed(const char* reason) override
    {
        reconnect_at_ = steady_now() + owner().options_.reconnect_delay;
        if (handshake_done_) {
            write_log(log_level::info, "link lost",
                      {{"host", entry_.host.text()}, {"reason", reason}});
            owner().events_.post(peer_lost{entry_.host});
        }
    }

    host_entry entry_;
    bool handshake_done_ = false;
    time_point reconnect_at_{};
};

/// A link that another host opened and delegates jobs over.
class job_links::incoming_link : public job_links::link {
  public:
    incoming_link(job_links& owner, QTcpSocket* socket) : link(owner, socket)
    {
        set_socket_options(*socket);
    }

  private:
    void on_message(const job_message& message) override
    {
        if (const auto* it = std::get_if<link_hello>(&message)) {
            set_peer(it->host);
            write(link_hello{owner().options_.host, owner().options_.incarnation});
            owner().events_.post(delegator_connected{number()});
            write_operator_requests();
        }
        if (const auto* it = std::get_if<link_delegation>(&message)) {
            owner().events_.post(delegation_received{{number(), it->delegation}, it->order});
        }
        if (const auto* it = std::get_if<link_withdrawal>(&message)) {
            owner().events_.post(delegation_withdrawn{{number(), it->delegation}});
        }
        if (const auto* it = std::get_if<link_release>(&message)) {
            owner().events_.post(worker_released{it->worker});
        }
    }

    void on_closed(const char* reason) override
    {
        write_log(log_level::info, "delegating link lost",
                  {{"link", number().value()}, {"reason", reason}});
        owner().events_.post(delegator_lost{number()});
    }
};

} // namespace papayafall::jobs
