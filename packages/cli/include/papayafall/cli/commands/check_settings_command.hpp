#pragma once

#include "papayafall/cli/command.hpp"

#include <string>

namespace papayafall {

/// `papayafall check-settings`: checks a daemon's settings file and starts nothing.
class check_settings_command : public command {
  public:
    CLI::App* attach(CLI::App& app) override;
    exit_code run() override;

  private:
    std::string settings_path_;
};

} // namespace papayafall
