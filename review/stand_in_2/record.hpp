#pragma once

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Milliseconds since the start of the program.
inline std::int64_t now_ms()
{
    static const steady::time_point start = steady::now();
    return std::chrono::duration_cast<milliseconds>(steady::now() - start).count();
}

/// Log of what was sent, answered and run. Thread-safe.
class record {
  public:
    explicit record(const std::string& path) : file_(path) {}

    void add(const std::string& line)
    {
        const std::lock_guard lock(mutex_);
        char at[32];
        std::snprintf(at, sizeof(at), "%8.3f  ", static_cast<double>(now_ms()) / 1000.0);
        file_ << at << line << '\n' << std::flush;
    }

  private:
    std::mutex mutex_;
    std::ofstream file_;
};

} // namespace review
