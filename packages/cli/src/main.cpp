#include "papayafall/cli/commands/check_settings_command.hpp"
#include "papayafall/cli/commands/confirm_command.hpp"
#include "papayafall/cli/commands/history_command.hpp"
#include "papayafall/cli/commands/plan_command.hpp"
#include "papayafall/cli/commands/show_command.hpp"
#include "papayafall/cli/commands/status_command.hpp"
#include "papayafall/cli/commands/submit_command.hpp"
#include "papayafall/cli/exit_codes.hpp"
#include "papayafall/cli/load/load_command.hpp"
#include "papayafall/core/errors/exception.hpp"

#include <QCoreApplication>

#include <iostream>
#include <memory>
#include <vector>

namespace {

using namespace papayafall;

std::vector<std::unique_ptr<command>> make_commands()
{
    std::vector<std::unique_ptr<command>> commands;
    commands.push_back(std::make_unique<submit_command>());
    commands.push_back(std::make_unique<plan_command>(std::cout));
    commands.push_back(std::make_unique<confirm_command>(std::cout));
    commands.push_back(std::make_unique<show_command>(std::cout));
    commands.push_back(std::make_unique<history_command>(std::cout));
    commands.push_back(std::make_unique<status_command>(std::cout));
    commands.push_back(std::make_unique<check_settings_command>());
    commands.push_back(std::make_unique<load_command>());
    return commands;
}

int run(CLI::App& app, const std::vector<std::unique_ptr<command>>& commands,
        const std::vector<CLI::App*>& parsers)
{
    for (std::size_t n = 0; n < commands.size(); ++n) {
        if (app.got_subcommand(parsers.at(n))) {
            return static_cast<int>(commands.at(n)->run());
        }
    }
    return static_cast<int>(exit_code::usage);
}

} // namespace

/// Command line tool of operators; `papayafall --help` lists its subcommands.
int main(int argc, char** argv)
{
    const QCoreApplication application(argc, argv);
    CLI::App app("papayafall: operate the dispatcher and submit tasks to it");
    app.set_version_flag("--version", "papayafall 0.1.0");
    app.require_subcommand(1);
    const std::vector<std::unique_ptr<command>> commands = make_commands();
    std::vector<CLI::App*> parsers;
    parsers.reserve(commands.size());
    for (const auto& it : commands) {
        parsers.push_back(it->attach(app));
    }
    try {
        app.parse(argc, argv);
        return run(app, commands, parsers);
    } catch (const CLI::ParseError& ex) {
        return app.exit(ex) == 0 ? 0 : static_cast<int>(exit_code::usage);
    } catch (const exception& ex) {
        std::cerr << "papayafall: " << ex.what() << '\n';
        return static_cast<int>(exit_code_of(ex.id()));
    } catch (const std::exception& ex) {
        std::cerr << "papayafall: " << ex.what() << '\n';
        return static_cast<int>(exit_code::internal);
    }
}
