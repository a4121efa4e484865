#pragma once

#include "event_loop.hpp"

#include <fstream>
#include <string>

namespace review {

/// What was sent, answered and run, with the time since the start of the case.
class record {
  public:
    explicit record(const std::string& path) : file_(path), begun_at_(now_ms()) {}

    void write(const std::string& line)
    {
        const std::int64_t ms = now_ms() - begun_at_;
        file_ << ms / 1000 << '.' << std::to_string(1000 + ms % 1000).substr(1) << ' ' << line
              << '\n';
    }

    /// Ends the record with the verdict, which is the program's exit code.
    int finish(bool broken, const std::string& reason)
    {
        write((broken ? "BROKEN: " : "held: ") + reason);
        return broken ? 1 : 0;
    }

  private:
    std::ofstream file_;
    std::int64_t begun_at_;
};

} // namespace review
