#include "papayafall/cli/commands/history_command.hpp"

#include "plan_output.hpp"

#include <QDateTime>

#include <ostream>

namespace papayafall {

namespace {

std::string format(wall_time at)
{
    const QDateTime it = QDateTime::fromMSecsSinceEpoch(at.time_since_epoch().count(), Qt::UTC);
    return it.toString(Qt::ISODateWithMs).toStdString();
}

} // namespace

CLI::App* history_command::attach(CLI::App& app)
{
    CLI::App* subcommand =
        app.add_subcommand("history", "Print the confirmed changes, newest first");
    subcommand->alias("audit");
    options_.attach(*subcommand);
    subcommand->add_option("--limit", limit_, "maximum number of changes")->capture_default_str();
    subcommand->footer("Example:\n  papayafall history --limit 5");
    return subcommand;
}

exit_code history_command::run()
{
    operator_connection connection(options_);
    const std::vector<change_record> changes = connection.changes().history(limit_);
    if (options_.wants_json()) {
        nlohmann::json out = nlohmann::json::array();
        for (const change_record& it : changes) {
            out.push_back(nlohmann::json::parse(encode_change_record(it)));
        }
        out_ << out.dump(2) << "\n";
        return exit_code::success;
    }
    for (const change_record& it : changes) {
        out_ << "revision " << it->revision.value() << " by " << it->author.text() << " at "
             << format(it->confirmed_at) << ", plan " << it->plan.text() << "\n";
        detail::print_differences(out_, it->differences);
    }
    return exit_code::success;
}

} // namespace papayafall
