#include "papayafall/cli/commands/confirm_command.hpp"

#include "papayafall/cli/commands/host_revisions.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <ostream>

namespace papayafall {

namespace {

bool has_in_force(const host_revision& it, revision_id required_revision)
{
    return it.revision && *it.revision >= required_revision;
}

nlohmann::json encode(const confirmation& confirmed, const plan_id& id,
                      const std::vector<host_revision>& hosts)
{
    nlohmann::json list = nlohmann::json::array();
    for (const host_revision& it : hosts) {
        const auto revision = it.revision ? nlohmann::json(it.revision->value()) : nlohmann::json();
        list.push_back({{"host", it.url},
                        {"revision", revision},
                        {"in_force", has_in_force(it, confirmed.revision)}});
    }
    return {{"plan", id.text()},
            {"result", to_string(confirmed.kind)},
            {"revision", confirmed.revision.value()},
            {"hosts", list}};
}

void print(std::ostream& out, const confirmation& confirmed,
           const std::vector<host_revision>& hosts)
{
    out << to_string(confirmed.kind) << " at revision " << confirmed.revision.value() << "\n";
    for (const host_revision& it : hosts) {
        out << "  " << it.url << ": ";
        if (has_in_force(it, confirmed.revision)) {
            out << "in force\n";
            continue;
        }
        out << (it.revision ? "at revision " + std::to_string(it.revision->value()) : "no answer")
            << "\n";
    }
}

} // namespace

CLI::App* confirm_command::attach(CLI::App& app)
{
    CLI::App* subcommand = app.add_subcommand("confirm", "Confirm a plan");
    options_.attach(*subcommand);
    subcommand->add_option("PLAN", plan_id_, "plan id printed by `papayafall plan`")->required();
    subcommand->add_option("--host", hosts_,
                           "URL of an entry host where the change has to be in force");
    subcommand->add_option("--wait", wait_s_, "seconds to wait for the platform and the hosts")
        ->capture_default_str();
    subcommand->footer(
        "Examples:\n"
        "  papayafall confirm 5f0c... --operator ana\n"
        "  papayafall confirm 5f0c... --operator ana --host http://10.0.0.1:8080 --wait 8");
    return subcommand;
}

exit_code confirm_command::run()
{
    operator_connection connection(options_);
    const time_point deadline = connection.clock().read().steady + std::chrono::seconds(wait_s_);
    const plan_id id(plan_id_);
    const confirmation confirmed =
        connection.changes().confirm(id, options_.require_operator_name(), deadline);
    const std::vector<host_revision> hosts =
        wait_for_revision(hosts_, confirmed.revision, deadline, connection.clock());
    if (options_.wants_json()) {
        out_ << encode(confirmed, id, hosts).dump(2) << "\n";
    } else {
        print(out_, confirmed, hosts);
    }
    const bool in_force_everywhere =
        std::all_of(hosts.begin(), hosts.end(),
                    [&](const host_revision& it) { return has_in_force(it, confirmed.revision); });
    return in_force_everywhere ? exit_code::success : exit_code::unavailable;
}

} // namespace papayafall
