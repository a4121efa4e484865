#include "papayafall/daemon/process/signal_watcher.hpp"

#include "papayafall/core/errors/exception.hpp"

#include <array>
#include <csignal>
#include <fcntl.h>
#include <unistd.h>
#include <utility>

namespace papayafall {

namespace {

constexpr std::array watched_signals{SIGTERM, SIGINT, SIGHUP};

/// Read and write end of the pipe to which the signal handler writes signal numbers.
// NOLINTNEXTLINE(cppcoreguidelines-avoid-non-const-global-variables)
std::array<int, 2> signal_pipe{-1, -1};

void forward_signal(int number)
{
    const auto buf = static_cast<unsigned char>(number);
    // The result is ignored: a full pipe already holds a signal of each relevant kind.
    [[maybe_unused]] const ssize_t n = write(signal_pipe[1], &buf, 1);
}

} // namespace

signal_watcher::signal_watcher(signal_handlers handlers) : handlers_(std::move(handlers))
{
    ensure(pipe2(signal_pipe.data(), O_CLOEXEC | O_NONBLOCK) == 0, "the signal pipe opens");
    notifier_ = std::make_unique<QSocketNotifier>(signal_pipe[0], QSocketNotifier::Read);
    QObject::connect(notifier_.get(), &QSocketNotifier::activated, [this] { read_signals(); });
    for (const int it : watched_signals) {
        std::signal(it, forward_signal);
    }
}

signal_watcher::~signal_watcher()
{
    for (const int it : watched_signals) {
        std::signal(it, SIG_DFL);
    }
    notifier_.reset();
    close(signal_pipe[0]);
    close(signal_pipe[1]);
}

void signal_watcher::read_signals()
{
    unsigned char buf = 0;
    while (read(signal_pipe[0], &buf, 1) == 1) {
        if (buf == SIGHUP) {
            handlers_.reload();
        } else {
            handlers_.stop();
        }
    }
}

} // namespace papayafall
