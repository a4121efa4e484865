#include "papayafall/daemon/kept/request_server.hpp"

#include "socket_state.hpp"

#include "papayafall/core/errors/exception.hpp"
#include "papayafall/daemon/logging/log.hpp"
#include "papayafall/platform/clock/clock_source.hpp"
#include "papayafall/platform/http/http_status_code.hpp"
#include "papayafall/platform/http/socket_options.hpp"

#include <QHostAddress>
#include <QTcpSocket>

#include <optional>
#include <utility>
#include <vector>

namespace papayafall {

namespace {

/// Number of connections that may wait to be accepted.
constexpr int listen_backlog = 512;
/// Requests of one connection that are handled before other connections get their turn.
constexpr int max_requests_per_turn = 32;
/// Size of the answers that a caller may leave unread.
constexpr qint64 max_unsent_bytes = qint64{1} << 20U;

} // namespace

/// A caller's connection.
class request_server::connection {
  public:
    connection(request_server& owner, std::uint64_t number, QTcpSocket* socket)
        : owner_(owner), number_(number), socket_(socket), reader_(owner.options_.limits),
          may_be_delayed_from_(steady_now() + owner.options_.delayed_request_age)
    {
        set_socket_options(*socket_);
        socket_->setReadBufferSize(static_cast<qint64>(max_unparsed_bytes()));
        QObject::connect(socket_, &QTcpSocket::readyRead, &context_, [this] { receive(); });
        QObject::connect(
            socket_, &QTcpSocket::disconnected, &context_,
            [this] { owner_.remove_connection(number_); }, Qt::QueuedConnection);
    }

    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    ~connection()
    {
        socket_->disconnect();
        socket_->abort();
        socket_->deleteLater();
    }

    const std::optional<call_id>& call() const noexcept { return call_; }

    void answer(http_reply_message reply)
    {
        reply.keep_alive = keep_alive_ && !owner_.closing_after_answers_;
        const std::string buf = encode_reply(reply);
        call_.reset();
        may_be_delayed_from_ = steady_now() + owner_.options_.resubmission_delay;
        socket_->write(buf.data(), static_cast<qint64>(buf.size()));
        socket_->flush();
        if (socket_->bytesToWrite() > max_unsent_bytes) {
            end("answers not read");
        } else if (!reply.keep_alive) {
            ended_ = true;
            socket_->disconnectFromHost();
        } else {
            handle_requests();
        }
    }

    bool overdue(time_point now) const noexcept { return now >= receive_deadline_; }

    /// Whether a request was held back until now.
    bool is_hold_over(time_point now) const noexcept
    {
        return held_request_ && now >= hold_deadline_;
    }

    /// Passes the request on that was held back.
    void end_hold()
    {
        const auto held = std::exchange(held_request_, std::nullopt);
        pass_on(*held);
        handle_requests(); // the request may have been dropped
    }

  private:
    std::size_t max_unparsed_bytes() const
    {
        return owner_.options_.limits.header_bytes + owner_.options_.limits.body_bytes;
    }

    void receive()
    {
        if (ended_ || turn_queued_) {
            return; // the bytes wait in the socket, and then at the caller
        }
        const QByteArray received = socket_->readAll();
        received_at_ = steady_now() - age_of_received_data(*socket_);
        reader_.feed({received.data(), static_cast<std::size_t>(received.size())});
        handle_requests();
        if (call_ && reader_.unparsed_bytes() > max_unparsed_bytes()) {
            end("requests sent without waiting for the answer");
        }
    }

    /// Handles the requests that have arrived, up to one that is not answered at once. A handler
    /// that answers at once comes back here, and only the outermost call goes on.
    void handle_requests()
    {
        if (handling_ || turn_queued_) {
            return;
        }
        handling_ = true;
        int handled = 0;
        while (!call_ && !held_request_ && !ended_ && handled < max_requests_per_turn &&
               handle_next_request()) {
            ++handled;
        }
        handling_ = false;
        if (handled == max_requests_per_turn) {
            turn_queued_ = true;
            QMetaObject::invokeMethod(
                &context_,
                [this] {
                    turn_queued_ = false;
                    handle_requests();
                    if (socket_->bytesAvailable() > 0) {
                        receive();
                    }
                },
                Qt::QueuedConnection);
        }
    }

    /// @return false if no complete request has arrived
    bool handle_next_request()
    {
        try {
            const auto next = reader_.next();
            if (!next) {
                if (!reader_.has_partial_message()) {
                    receive_deadline_ = no_deadline;
                } else if (receive_deadline_ == no_deadline) {
                    receive_deadline_ = steady_now() + owner_.options_.receive_timeout;
                }
                return false;
            }
            receive_deadline_ = no_deadline;
            if (received_at_ >= may_be_delayed_from_) {
                hold_deadline_ = steady_now() + owner_.options_.delayed_request_hold;
                held_request_ = *next;
                return true;
            }
            pass_on(*next);
        } catch (const message_error&) {
            keep_alive_ = false;
            answer({.status = http_status_code::bad_request});
        }
        return true;
    }

    /// Closes the connection at once, without the answers that the caller has not read.
    void end(const char* reason)
    {
        write_log(log_level::warning, "connection closed", {{"reason", reason}});
        ended_ = true;
        socket_->abort();
    }

    void pass_on(const http_request_message& message)
    {
        if (is_ended_by_peer(*socket_)) {
            write_log(log_level::info, "request dropped, its connection has ended",
                      {{"target", message.target}});
            return;
        }
        keep_alive_ = message.keep_alive;
        owner_.last_call_ = owner_.last_call_.next();
        call_ = owner_.last_call_;
        owner_.open_calls_.emplace(*call_, number_);
        owner_.handler_.on_request(*call_, message, received_at_);
    }

    request_server& owner_;
    std::uint64_t number_;
    QTcpSocket* socket_;
    QObject context_; ///< drops the signals of the socket that are still queued at the end
    http_reader<http_request_message> reader_;
    std::optional<call_id> call_;
    time_point receive_deadline_ = no_deadline;
    time_point received_at_{}; ///< when the last data arrived at this host
    /// A request that arrives from then on may have been delayed on its way for so long that its
    /// caller has left.
    time_point may_be_delayed_from_;
    std::optional<http_request_message> held_request_;
    time_point hold_deadline_ = no_deadline;
    bool keep_alive_ = true;
    bool handling_ = false;    ///< `handle_requests` is on the stack
    bool turn_queued_ = false; ///< `handle_requests` is called again from the event loop
    bool ended_ = false;       ///< no further request is handled
};

request_server::request_server(const request_server_options& options, request_handler& handler)
    : options_(options), handler_(handler)
{
    server_.setListenBacklogSize(listen_backlog);
    const QHostAddress address(QString::fromStdString(options.listen.address));
    if (!server_.listen(address, options.listen.port)) {
        throw configuration_error(error_id::invalid_settings, "/listen",
                                  "cannot listen on " + options.listen.address + ":" +
                                      std::to_string(options.listen.port));
    }
    QObject::connect(&server_, &QTcpServer::newConnection, [this] { accept(); });
}

request_server::~request_server() = default;

std::uint16_t request_server::port() const
{
    return server_.serverPort();
}

void request_server::answer(call_id call, http_reply_message reply)
{
    const auto it = open_calls_.find(call);
    if (it == open_calls_.end()) {
        return;
    }
    const std::uint64_t number = it->second;
    open_calls_.erase(it);
    connections_.at(number)->answer(std::move(reply));
}

void request_server::on_tick(time_point now)
{
    for (const std::uint64_t it :
         connections_where([now](const connection& c) { return c.overdue(now); })) {
        remove_connection(it);
    }
    for (const std::uint64_t it :
         connections_where([now](const connection& c) { return c.is_hold_over(now); })) {
        connections_.at(it)->end_hold();
    }
}

std::vector<std::uint64_t>
request_server::connections_where(const std::function<bool(const connection&)>& condition) const
{
    std::vector<std::uint64_t> found;
    for (const auto& [number, it] : connections_) {
        if (condition(*it)) {
            found.push_back(number);
        }
    }
    return found;
}

void request_server::accept()
{
    while (QTcpSocket* const socket = server_.nextPendingConnection()) {
        socket->setParent(nullptr);
        if (connections_.size() >= options_.max_connections) {
            socket->abort();
            socket->deleteLater();
            continue;
        }
        const std::uint64_t number = ++last_connection_number_;
        connections_.emplace(number, std::make_unique<connection>(*this, number, socket));
    }
}

void request_server::remove_connection(std::uint64_t number)
{
    const auto it = connections_.find(number);
    if (it == connections_.end()) {
        return;
    }
    const std::optional<call_id> call = it->second->call();
    connections_.erase(it);
    if (call) {
        open_calls_.erase(*call);
        handler_.on_abandoned(*call);
    }
}

} // namespace papayafall
