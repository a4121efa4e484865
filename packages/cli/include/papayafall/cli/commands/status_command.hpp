#pragma once

#include "papayafall/cli/command.hpp"

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace papayafall {

/// `papayafall status`: prints the status that entry hosts report of themselves, their
/// peers and their targets.
class status_command : public command {
  public:
    explicit status_command(std::ostream& out) : out_(out) {}

    CLI::App* attach(CLI::App& app) override;

    /// @return `unavailable` if a host reported no status; the status of the others is still
    /// printed
    exit_code run() override;

  private:
    std::ostream& out_;
    std::vector<std::string> hosts_{"127.0.0.1:8080"};
    std::string output_format_ = "table";
    std::uint32_t timeout_ms_ = 2000;
};

} // namespace papayafall
