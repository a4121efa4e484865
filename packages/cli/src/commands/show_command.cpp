#include "papayafall/cli/commands/show_command.hpp"

#include "papayafall/wire/configuration/configuration_json.hpp"

#include <ostream>

namespace papayafall {

CLI::App* show_command::attach(CLI::App& app)
{
    CLI::App* subcommand = app.add_subcommand("show", "Print the configuration in force");
    options_.attach(*subcommand);
    subcommand->footer("Example:\n  papayafall show --output json");
    return subcommand;
}

exit_code show_command::run()
{
    operator_connection connection(options_);
    const nlohmann::json document =
        encode_configuration(connection.changes().read_current().content);
    if (options_.wants_json()) {
        out_ << document.dump(2) << "\n";
        return exit_code::success;
    }
    for (const auto& it : document.flatten().items()) {
        out_ << it.key() << ": " << it.value().dump() << "\n";
    }
    return exit_code::success;
}

} // namespace papayafall
