#pragma once

#include "papayafall/cli/command.hpp"
#include "papayafall/cli/commands/operator_options.hpp"

#include <cstdint>
#include <iosfwd>

namespace papayafall {

/// `papayafall history` (alias `audit`): prints the latest confirmed changes, newest first.
class history_command : public command {
  public:
    explicit history_command(std::ostream& out) : out_(out) {}

    CLI::App* attach(CLI::App& app) override;
    exit_code run() override;

  private:
    std::ostream& out_;
    operator_options options_;
    std::uint32_t limit_ = 20;
};

} // namespace papayafall
