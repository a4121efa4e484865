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

/// One traffic thread of the callers' front end with its event loop and its server.
class front_end_thread {
  public:
    /// Opens the listening socket.
    /// @throws configuration_error when the address cannot be used
    front_end_thread(const front_end_options& options, const front_end_context& context,
                     call_id_partition partition, std::optional<QSslConfiguration> tls);

    front_end_thread(const front_end_thread&) = delete;
    front_end_thread& operator=(const front_end_thread&) = delete;

    /// Cuts the connections that are left and ends the thread.
    ~front_end_thread();

    std::uint16_t port() const noexcept { return socket_.port(); }

    void start();

    /// Hands an action to the server; callable from any thread, at any time.
    void post(action requested) { actions_.post(std::move(requested)); }

    void set_tls(const QSslConfiguration& tls);

    /// Accepts no more connections; the thread ends when the last one has ended.
    void stop_accepting();

    /// Waits for the thread to end, and ends it at `deadline`.
    void join(time_point deadline);

  private:
    void wake();
    /// Closes the server and leaves the event loop; runs on the thread itself.
    void shut_down();

    const clock_source& clock_;
    listening_socket socket_;
    std::optional<QSslConfiguration> tls_;
    QThread thread_;
    std::unique_ptr<caller_server> server_;
    mailbox<action> actions_;
};

} // namespace papayafall
