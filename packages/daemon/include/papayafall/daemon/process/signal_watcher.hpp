#pragma once

#include <QSocketNotifier>

#include <functional>
#include <memory>

namespace papayafall {

/// Callbacks for the signals that control a daemon.
struct signal_handlers {
    std::function<void()> stop;   ///< on SIGTERM and SIGINT
    std::function<void()> reload; ///< on SIGHUP
};

/// Calls handlers for POSIX signals from the event loop of the constructing thread. At most one
/// object may exist at a time, because it uses a global pipe.
class signal_watcher {
  public:
    explicit signal_watcher(signal_handlers handlers);
    signal_watcher(const signal_watcher&) = delete;
    signal_watcher& operator=(const signal_watcher&) = delete;
    ~signal_watcher();

  private:
    void read_signals();

    signal_handlers handlers_;
    std::unique_ptr<QSocketNotifier> notifier_;
};

} // namespace papayafall
