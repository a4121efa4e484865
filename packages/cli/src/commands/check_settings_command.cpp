#include "papayafall/cli/commands/check_settings_command.hpp"

#include "papayafall/wire/settings/settings.hpp"

#include <iostream>

namespace papayafall {

CLI::App* check_settings_command::attach(CLI::App& app)
{
    CLI::App* subcommand =
        app.add_subcommand("check-settings", "Check the settings file of a daemon");
    subcommand->add_option("FILE", settings_path_, "settings file")->required();
    subcommand->footer("Example:\n  papayafall check-settings /etc/papayafall/a1.json");
    return subcommand;
}

exit_code check_settings_command::run()
{
    const settings checked = load_settings(settings_path_);
    std::cout << "settings of host " << checked->host.text() << " are valid\n";
    return exit_code::success;
}

} // namespace papayafall
