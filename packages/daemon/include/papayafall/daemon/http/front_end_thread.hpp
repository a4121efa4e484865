#pragma once

#include "papayafall/core/engine/mailbox.hpp"
#include "papayafall/core/messages/action.hpp"
#include "papayafall/daemon/http/caller_server.hpp"
#include "papayafall/daemon/http/front_end_options.hpp"
#include "papayafall/daemon/http/listening_socket.hpp"

#include <QSslConfiguration>
#include <QThread>

#include <chrono>
#include <memory>
#include <optional>

namespace papayafall {

/// A traffic thread of the HTTP front end, with its event loop and server.
class front_end_thread {
  public:
    /// Opens the listening socket.
    /// @throws configuration_error if the listen address is unusable
    front_end_thread(const front_end_options& options, const front_end_context& context,
                     call_id_partition partition, std::optional<QSslConfiguration> tls);

    front_end_thread(const front_end_thread&) = delete;
    front_end_thread& operator=(const front_end_thread&) = delete;

    /// Aborts the remaining connections and ends the thread.
    ~front_end_thread();

    std::uint16_t port() const noexcept { return socket_.port(); }

    /// Starts the thread and accepts connections on it.
    void start();

    /// Passes an action to the server. Thread-safe; may also be called before `start` and after the
    /// thread has ended.
    void post(action requested) { actions_.post(std::move(requested)); }

    /// Replaces the TLS configuration; applies to connections accepted from now on.
    void set_tls(const QSslConfiguration& tls);

    /// Stops accepting connections; the thread ends when the last connection has closed.
    void stop_accepting();

    /// Waits for the thread to end; at `deadline`, aborts the remaining connections and ends it.
    void join(time_point deadline);

  private:
    /// Schedules the posted actions for execution on the thread.
    void wake();
    /// Closes the server and exits the event loop; must be called on the thread itself.
    void shut_down();

    const clock_source& clock_;
    listening_socket socket_;
    std::optional<QSslConfiguration> tls_;
    QThread thread_;
    std::unique_ptr<caller_server> server_;
    mailbox<action> actions_;
};

} // namespace papayafall
