#include "papayafall/cli/commands/check_settings_command.hpp"

#include "papayafall/wire/settings/settings.hpp"

#include <iostream>

namespace papayafall {

CLI::App* check_settings_command::attach(CLI::App& app)
{
    CLI::App* sub = app.add_subcommand("check-settings", "check the settings file of a daemon");
    sub->add_option("FILE", path_, "settings file")->required();
    sub->footer("Example:\n  papayafall check-settings /etc/papayafall/a1.json");
    return sub;
}

exit_code check_settings_command::run()
{
    const settings checked = load_settings(path_);
    std::cout << "settings of host " << checked->host.text() << " are valid\n";
    return exit_code::success;
}

} // namespace papayafall
