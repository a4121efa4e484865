#pragma once

#include "record.hpp"

#include <cstdint>
#include <string>

#include <sys/types.h>

namespace review {

/// A process of the system on an edge machine, started as the deploy file says.
class daemon_process {
  public:
    /// @param directory for the settings file and the log
    daemon_process(std::string name, std::string zone, std::uint16_t store_port,
                   const std::string& directory, record& log);
    daemon_process(const daemon_process&) = delete;
    daemon_process& operator=(const daemon_process&) = delete;
    ~daemon_process();

    void start();
    void send_signal(int number);

    /// Whether the process runs.
    bool running();

    /// Answer of the readiness check of the platform's balancer.
    bool ready() const;

    const std::string& name() const noexcept { return name_; }

    const std::string& zone() const noexcept { return zone_; }

    std::uint16_t frontend() const noexcept { return frontend_; }

  private:
    std::string name_;
    std::string zone_;
    std::string settings_path_;
    std::string log_path_;
    record& log_;
    std::uint16_t frontend_;
    std::uint16_t readiness_;
    pid_t pid_ = -1;
};

} // namespace review
