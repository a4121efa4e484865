#pragma once

#include "papayafall/cli/command.hpp"
#include "papayafall/cli/load/load_plan.hpp"

#include <string>
#include <vector>

namespace papayafall {

/// `papayafall load`: generates load on entry hosts from a seed and reports response times and
/// outcomes.
///
/// The task bodies are those that `stand-in-target` runs; its answers contain the id of the task.
/// Requires a QCoreApplication.
class load_command : public command {
  public:
    CLI::App* attach(CLI::App& app) override;

    /// @throws configuration_error for an invalid option
    /// @throws platform_error if the first entry host does not answer
    /// @return `refused` if an answer was incomplete or belonged to another request
    exit_code run() override;

  private:
    void add_target_options(CLI::App& app);
    void add_load_options(CLI::App& app);
    load_plan make_plan() const;

    load_plan plan_;
    std::vector<std::string> hosts_;
    std::vector<std::string> services_{"quote"};
    std::string long_service_;
    std::string team_;
    std::string profile_ = "wave";
    double run_length_s_ = 30;
    std::int64_t base_time_limit_ms_ = 1000;
    std::string output_path_;
    bool print_json_ = false;
};

} // namespace papayafall
