#pragma once

#include "event_loop.hpp"

#include <fstream>
#include <string>

namespace review {

/// Writes what was sent, answered and run, one line an event, with the time since the start.
class record {
  public:
    explicit record(const std::string& path) : file_(path) {}

    void write(const std::string& line);

    /// Milliseconds since the start of the record.
    std::int64_t elapsed_ms() const;

  private:
    std::ofstream file_;
    time_point started_at_ = steady::now();
};

} // namespace review
