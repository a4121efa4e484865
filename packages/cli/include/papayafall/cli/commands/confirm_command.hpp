#pragma once

#include "papayafall/cli/command.hpp"
#include "papayafall/cli/commands/operator_options.hpp"

#include <iosfwd>
#include <string>
#include <vector>

namespace papayafall {

/// `papayafall confirm PLAN`: confirms a plan and waits until its revision is in force
/// at the entry hosts given by `--host`.
class confirm_command : public command {
  public:
    explicit confirm_command(std::ostream& out) : out_(out) {}

    CLI::App* attach(CLI::App& app) override;
    exit_code run() override;

  private:
    std::ostream& out_;
    operator_options options_;
    std::string plan_id_;
    std::vector<std::string> hosts_;
    std::uint32_t wait_s_ = 10;
};

} // namespace papayafall
