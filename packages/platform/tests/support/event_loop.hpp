#pragma once

#include <QCoreApplication>
#include <QElapsedTimer>

#include <chrono>

namespace papayafall {

/// Makes the application object that Qt's event loops need; once for each test program.
inline void ensure_application()
{
    static int argc = 0;
    static const auto* const application = new QCoreApplication(argc, nullptr);
    static_cast<void>(application);
}

/// Handles events of this thread until `done` returns true; returns false after `limit`.
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
