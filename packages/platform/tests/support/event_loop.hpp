#pragma once

#include <QCoreApplication>
#include <QElapsedTimer>

#include <chrono>

namespace papayafall {

/// Processes events of this thread until `done` returns true; returns false after `limit`.
template <typename Done>
bool run_until(Done&& done, std::chrono::milliseconds limit = std::chrono::seconds(10))
{
    QElapsedTimer elapsed;
    elapsed.start();
    while (!done()) {
        if (elapsed.hasExpired(limit.count())) {
            return false;
        }
        QCoreApplication::processEvents(QEventLoop::AllEvents | QEventLoop::WaitForMoreEvents, 10);
    }
    return true;
}

} // namespace papayafall
