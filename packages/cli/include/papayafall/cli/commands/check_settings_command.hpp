#pragma once

#include "papayafall/cli/command.hpp"

#include <string>

namespace papayafall {

/// `papayafall check-settings`: validates the settings file of a daemon without starting it.
class check_settings_command : public command {
  public:
    CLI::App* attach(CLI::App& app) override;
    exit_code run() override;

  private:
    std::string settings_path_;
};

} // namespace papayafall
