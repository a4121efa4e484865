#include "papayafall/cli/commands/confirm_command.hpp"

#include "papayafall/cli/commands/host_revisions.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <ostream>

namespace papayafall {

namespace {

bool in_force(const host_revision& it, revision_id wanted)
{
    return it.revision && *it.revision >= wanted;
}

nlohmann::json encode(const confirmation& done, const plan_id& id,
                      const std::vector<host_revision>& hosts)
{
    nlohmann::json list = nlohmann::json::array();
    for (const host_revision& it : hosts) {
        const auto revision = it.revision ? nlohmann::json(it.revision->value()) : nlohmann::json();
        list.push_back(
            {{"host", it.url}, {"revision", revision}, {"in_force", in_force(it, done.revision)}});
    }
    return {{"plan", id.text()},
            {"result", to_string(done.kind)},
            {"revision", done.revision.value()},
            {"hosts", list}};
}

void print(std::ostream& out, const confirmation& done, const std::vector<host_revision>& hosts)
{
    out << to_string(done.kind) << " at revision " << done.revision.value() << "\n";
    for (const host_revision& it : hosts) {
        out << "  " << it.url << ": ";
        if (in_force(it, done.revision)) {
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
    CLI::App* it = app.add_subcommand("confirm", "Confirm a plan");
    options_.attach(*it);
    it->add_option("PLAN", plan_, "identity that `papayafall plan` printed")->required();
    it->add_option("--host", hosts_, "URL of an entry host that has to have the change in force");
    it->add_option("--wait", wait_s_, "seconds to wait for the platform and for the hosts")
        ->capture_default_str();
    it->footer("Examples:\n"
               "  papayafall confirm 5f0c... --operator ana\n"
               "  papayafall confirm 5f0c... --operator ana --host http://10.0.0.1:8080 --wait 8");
    return it;
}

exit_code confirm_command::run()
{
    operator_connection connection(options_);
    const time_point deadline = connection.clock().read().steady + std::chrono::seconds(wait_s_);
    const plan_id id(plan_);
    const confirmation done = connection.changes().confirm(id, options_.named_operator(), deadline);
    const std::vector<host_revision> hosts =
        wait_for_revision(hosts_, done.revision, deadline, connection.clock());
    if (options_.wants_json()) {
        out_ << encode(done, id, hosts).dump(2) << "\n";
    } else {
        print(out_, done, hosts);
    }
    const bool everywhere = std::all_of(hosts.begin(), hosts.end(), [&](const host_revision& it) {
        return in_force(it, done.revision);
    });
    return everywhere ? exit_code::success : exit_code::unavailable;
}

} // namespace papayafall
