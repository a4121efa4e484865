#pragma once

#include "papayafall/cli/command.hpp"

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace papayafall {

/// `papayafall status`: prints what entry hosts know about themselves, their peers and targets.
class status_command : public command {
  public:
    explicit status_command(std::ostream& out) : out_(out) {}

    CLI::App* attach(CLI::App& app) override;

    /// @return `unavailable` when a host gave no status; the others are printed all the same
    exit_code run() override;

  private:
    std::ostream& out_;
    std::vector<std::string> hosts_{"127.0.0.1:8080"};
    std::string output_ = "table";
    std::uint32_t timeout_ms_ = 2000;
};

} // namespace papayafall
