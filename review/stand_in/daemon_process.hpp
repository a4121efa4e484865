#pragma once

#include "http.hpp"
#include "record.hpp"

#include <sys/types.h>

#include <cstdint>
#include <string>
#include <vector>

namespace review {

/// The project's daemon as a process of its own, on loopback addresses.
class daemon_process {
  public:
    /// @param root      root of the repository; the process starts there
    /// @param directory where its settings and its output are written
    daemon_process(event_loop& loop, record& out, std::string root, const std::string& directory,
                   std::string name, const std::string& zone, const std::vector<std::string>& zones,
                   std::uint16_t store_port);
    daemon_process(const daemon_process&) = delete;
    daemon_process& operator=(const daemon_process&) = delete;
    /// Kills the process if it still runs.
    ~daemon_process();

    const std::string& name() const noexcept { return name_; }

    std::uint16_t callers_port() const noexcept { return callers_port_; }

    void start();
    void send_signal(int number);
    /// Whether the process has not ended. Collects its exit status.
    bool running();
    /// Waits until the readiness check is answered with 200.
    bool wait_until_ready(milliseconds limit);

  private:
    event_loop& loop_;
    record& out_;
    std::string root_;
    std::string name_;
    std::string settings_path_;
    std::string output_path_;
    std::uint16_t callers_port_;
    std::uint16_t readiness_port_;
    pid_t pid_ = -1;
};

} // namespace review
