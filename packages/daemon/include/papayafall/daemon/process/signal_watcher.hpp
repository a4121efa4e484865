#pragma once

#include <QSocketNotifier>

#include <functional>
#include <memory>

namespace papayafall {

/// What to do on the signals that operators send.
struct signal_handlers {
    std::function<void()> stop;   ///< on SIGTERM and SIGINT
    std::function<void()> reload; ///< on SIGHUP
};

/// Brings signals into the event loop of the constructing thread. One object at a time.
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
