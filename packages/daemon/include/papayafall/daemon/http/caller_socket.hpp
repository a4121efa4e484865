#pragma once

#include "papayafall/core/values/identifiers.hpp"
#include "papayafall/core/values/time.hpp"
#include "papayafall/daemon/http/caller_request.hpp"
#include "papayafall/daemon/http/front_end_options.hpp"
#include "papayafall/daemon/http/http_response.hpp"
#include "papayafall/daemon/http/request_framer.hpp"
#include "papayafall/platform/clock/clock_source.hpp"

#include <boost/intrusive/list_hook.hpp>
#include <boost/intrusive/set_hook.hpp>

#include <QTcpSocket>

#include <cstdint>
#include <string>

namespace papayafall {

class caller_socket;

/// Receives notifications from callers' sockets.
class caller_socket_observer {
  public:
    caller_socket_observer() = default;
    caller_socket_observer(const caller_socket_observer&) = delete;
    caller_socket_observer& operator=(const caller_socket_observer&) = delete;
    virtual ~caller_socket_observer() = default;

    /// Called for an invalid, oversized or timed-out request; the observer must respond to it.
    virtual void on_request_rejected(caller_socket& caller, const frame_rejected& reason) = 0;

    /// Called once per socket when its connection has closed, whichever side closed it.
    virtual void on_closed(caller_socket& caller) = 0;
};

/// A call waiting for its answer.
struct pending_call {
    call_id call;
    answer_format format = answer_format::single;
    time_point received_at{};

    auto operator<=>(const pending_call&) const = default;
};

using socket_list_hook =
    boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;
using call_index_hook =
    boost::intrusive::set_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

/// A caller's connection, presented to the HTTP library as a socket.
///
/// Wraps the transport socket and exposes received data to the library one complete request of
/// bounded size at a time. The next request is exposed only after the response to the previous one
/// has been sent, so that pipelined requests are answered in order and memory use is bounded.
class caller_socket final : public QTcpSocket, public socket_list_hook, public call_index_hook {
  public:
    /// @param transport connected socket, plain or TLS; this object takes ownership
    /// @param clock must outlive this object
    /// @param observer must outlive this object
    caller_socket(QTcpSocket* transport, const connection_limits& limits, const clock_source& clock,
                  caller_socket_observer& observer, QObject* parent);
    ~caller_socket() override;

    /// Marks the current request as successfully parsed by the library. A request that is not
    /// accepted while it is delivered is rejected as malformed.
    /// @param head_only true for a HEAD request, whose response has no body
    void accept_request(bool head_only) noexcept;

    /// Sets the call whose answer is to be sent on this socket.
    void set_call(const pending_call& pending) noexcept { call_ = pending; }

    const pending_call& call() const noexcept { return call_; }

    /// Whether a request is waiting for its response.
    bool request_in_progress() const noexcept { return phase_ == phase::in_progress; }

    /// Sends the response to the request in progress or to a rejected request. No effect if no
    /// request is waiting for a response, for example after the connection has closed.
    void respond(const http_response& response);

    /// Closes the connection after the response to the request that is being received or processed,
    /// or immediately if there is none.
    void close_when_idle();

    /// Enforces the current timeout. An incomplete request is rejected with status 408; a
    /// connection that is idle, lingering or whose response is not being read is aborted.
    void enforce_deadline(time_point instant);

    /// Closes the connection immediately and discards unsent data.
    void abort_connection();

    qint64 bytesAvailable() const override;
    bool canReadLine() const override;

    bool isSequential() const override { return true; }

    void disconnectFromHost() override;

  protected:
    qint64 readData(char* data, qint64 max_size) override;
    qint64 writeData(const char* data, qint64 size) override;

  private:
    enum class phase : std::uint8_t {
        idle,        ///< no data of the next request has arrived
        receiving,   ///< a request has arrived in part
        in_progress, ///< a request is waiting for its response
        sending,     ///< a response has not been fully sent
        lingering,   ///< the last response was sent; further input is discarded
        closed,
    };

    void on_transport_readable();
    void on_transport_writable();
    void on_transport_closed();

    /// Processes received data until a request is in progress or more data is needed.
    void process_input();
    /// Processes at most one request.
    /// @return whether `process_input` should call this again
    bool process_next_request();
    /// Lets the library read a complete request, and rejects it if the library does not accept it.
    void deliver_request(const frame_complete& frame);
    /// Reports an unacceptable request to the observer; the connection closes after the response.
    void reject_request(const frame_rejected& reason);
    /// Reads the available data of the transport socket.
    /// @return whether any data was read
    bool fill_buffer();
    /// Starts the transfer timeout and sends `100 Continue` if the caller expects it.
    void await_remainder(const frame_incomplete& frame);
    void finish_response();
    /// Ends the connection. If, on a plain connection, input is still unread, only the sending side
    /// is shut down and input is discarded until the caller closes or the linger timeout expires:
    /// closing with unread data would reset the connection, and the caller could lose the response.
    void start_lingering_close();
    /// Bytes not yet passed to the operating system, including encrypted ones.
    qint64 unsent_bytes() const;

    time_point now() const { return clock_.read().steady; }

    QTcpSocket* transport_;
    const clock_source& clock_;
    caller_socket_observer& observer_;
    const connection_limits limits_;
    request_framer framer_;
    std::string buffer_;            ///< received data that is not yet processed
    std::size_t readable_size_ = 0; ///< bytes of `buffer_` that the library may read
    std::size_t read_size_ = 0;     ///< bytes of `buffer_` that the library has read
    phase phase_ = phase::idle;
    time_point deadline_;
    pending_call call_;
    bool request_accepted_ = false; ///< by the library
    bool keep_alive_ = true;
    bool head_only_ = false;
    bool rejected_ = false;
    bool continue_sent_ = false;
    bool processing_input_ = false;
};

} // namespace papayafall
