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

/// Learns what happens on callers' sockets.
class caller_socket_observer {
  public:
    caller_socket_observer() = default;
    caller_socket_observer(const caller_socket_observer&) = delete;
    caller_socket_observer& operator=(const caller_socket_observer&) = delete;
    virtual ~caller_socket_observer() = default;

    /// The caller sent something that is not an acceptable request; it wants a response.
    virtual void on_request_rejected(caller_socket& caller, const frame_rejected& reason) = 0;

    /// The caller hung up or was cut off; called once for each socket.
    virtual void on_closed(caller_socket& caller) = 0;
};

/// A call that waits for its answer.
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

/// One caller's connection, as the HTTP library sees it.
///
/// The library reads from this socket; the bytes come from the transport socket behind it. Only
/// whole requests of bounded size are shown to the library, and the next one only after the
/// response to the one before was taken by the caller, so that pipelined requests get their own
/// answers in order and memory stays bounded.
class caller_socket final : public QTcpSocket, public socket_list_hook, public call_index_hook {
  public:
    /// @param transport connected socket, plain or TLS; it becomes a child of this object
    /// @param clock must outlive this object
    /// @param observer must outlive this object
    caller_socket(QTcpSocket* transport, const connection_limits& limits, const clock_source& clock,
                  caller_socket_observer& observer, QObject* parent);
    ~caller_socket() override;

    /// Accepts the request that the library has just read.
    /// @param head_only the response must have no body
    void accept_request(bool head_only) noexcept;

    /// Sets the call that waits for an answer on this socket.
    void set_call(const pending_call& waiting) noexcept { call_ = waiting; }

    const pending_call& call() const noexcept { return call_; }

    /// Whether a request is in progress.
    bool request_in_progress() const noexcept { return phase_ == phase::in_progress; }

    /// Writes the response to the request in progress, or to a refused one. Without effect on a
    /// closed socket.
    void respond(const http_response& response);

    /// Closes the connection after the request of which a part has arrived or that is in progress,
    /// or at once where there is none.
    void close_when_idle();

    /// Ends what took too long: a request that is not complete, an answer that is not taken, or
    /// a connection that is not used.
    void enforce_deadline(time_point instant);

    /// Cuts the connection.
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
        idle,        ///< between two requests
        receiving,   ///< a part of a request has arrived
        in_progress, ///< a request waits for its answer
        sending,     ///< the caller has not taken all of an answer
        lingering,   ///< the last response was sent; what still arrives is discarded
        closed,
    };

    void on_transport_readable();
    void on_transport_writable();
    void on_transport_closed();

    /// Takes the next request, if there is one and none is in progress.
    void process_input();
    /// Returns whether a request was taken and `advance` has to look again.
    bool process_next_request();
    void deliver_request(const frame_complete& whole);
    void reject_request(const frame_rejected& reason);
    bool fill_buffer();
    void await_remainder(const frame_incomplete& part);
    void finish_response();
    void start_lingering_close();
    qint64 unsent_bytes() const;

    time_point now() const { return clock_.read().steady; }

    QTcpSocket* transport_;
    const clock_source& clock_;
    caller_socket_observer& observer_;
    const connection_limits limits_;
    request_framer framer_;
    std::string buffer_;            ///< received and not yet answered
    std::size_t readable_size_ = 0; ///< bytes of `buffer_` that the library may read
    std::size_t read_size_ = 0;     ///< bytes of `buffer_` that the library has read
    phase phase_ = phase::idle;
    time_point deadline_;
    pending_call call_;
    bool request_accepted_ = false;
    bool keep_alive_ = true;
    bool head_only_ = false;
    bool rejected_ = false;
    bool continue_sent_ = false;
    bool processing_input_ = false;
};

} // namespace papayafall
