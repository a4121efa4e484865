#pragma once

#include "papayafall/cli/command.hpp"
#include "papayafall/cli/commands/operator_options.hpp"

#include <iosfwd>
#include <string>
#include <vector>

namespace papayafall {

/// `papayafall plan FILE`: stores a plan for an intent and prints what it would change.
class plan_command : public command {
  public:
    explicit plan_command(std::ostream& out) : out_(out) {}

    CLI::App* attach(CLI::App& app) override;
    exit_code run() override;

  private:
    plan_observations read_observations(operator_connection& connection) const;

    std::ostream& out_;
    operator_options options_;
    std::string intent_path_;
    std::vector<std::string> run_time_arguments_;
};

} // namespace papayafall
