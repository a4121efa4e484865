#pragma once

#include "papayafall/cli/command.hpp"
#include "papayafall/cli/commands/operator_options.hpp"

#include <iosfwd>

namespace papayafall {

/// `papayafall show`: prints the configuration in force, as stored at the platform.
class show_command : public command {
  public:
    explicit show_command(std::ostream& out) : out_(out) {}

    CLI::App* attach(CLI::App& app) override;
    exit_code run() override;

  private:
    std::ostream& out_;
    operator_options options_;
};

} // namespace papayafall
