#include "papayafall/cli/commands/plan_command.hpp"

#include "plan_output.hpp"

#include "papayafall/platform/hosts/stored_host_list.hpp"
#include "papayafall/platform/store/await.hpp"

#include <charconv>
#include <fstream>
#include <sstream>

namespace papayafall {

namespace {

intent_document read_intent(const std::string& path)
{
    const std::ifstream in(path);
    if (!in) {
        throw configuration_error(error_id::invalid_configuration, "", path + ": cannot open file");
    }
    std::ostringstream text;
    text << in.rdbuf();
    return intent_document::parse(text.str());
}

/// Parses "SERVICE=MILLISECONDS" and adds the run time to `observations`.
/// @throws configuration_error if `text` has another form
void add_run_time(const std::string& text, plan_observations& observations)
{
    const std::size_t at = text.find('=');
    std::uint32_t ms = 0;
    const char* end = text.data() + text.size();
    const char* begin = at == std::string::npos ? end : text.data() + at + 1;
    const auto [last, ec] = std::from_chars(begin, end, ms);
    if (ec != std::errc() || last != end) {
        throw configuration_error(error_id::invalid_settings, "/run-time",
                                  "expected SERVICE=MILLISECONDS");
    }
    observations.run_times[service_name(text.substr(0, at))] = std::chrono::milliseconds(ms);
}

} // namespace

CLI::App* plan_command::attach(CLI::App& app)
{
    CLI::App* subcommand = app.add_subcommand("plan", "Show what an intent would change");
    options_.attach(*subcommand);
    subcommand
        ->add_option("FILE", intent_path_, "file with the intent, a JSON merge patch (RFC 7396)")
        ->required();
    subcommand->add_option("--run-time", run_time_arguments_,
                           "observed run time of a service, SERVICE=MILLISECONDS; may be repeated");
    subcommand->footer(
        "Examples:\n"
        "  papayafall plan intent.json --operator ana\n"
        "  papayafall plan intent.json --operator ana --run-time quote=180 --output json");
    return subcommand;
}

plan_observations plan_command::read_observations(operator_connection& connection) const
{
    plan_observations observations;
    for (const std::string& it : run_time_arguments_) {
        add_run_time(it, observations);
    }
    stored_host_list host_list(connection.store(), std::nullopt);
    const auto hosts = await<host_list_snapshot>(
        [&](const platform_reply<host_list_snapshot>& reply) { host_list.read(reply); });
    std::uint64_t slots = 0;
    for (const target_entry& it : hosts->targets) {
        slots += it.leaving ? 0 : it.slots;
    }
    observations.capacity_slots = slots;
    for (const peer_entry& it : hosts->peers) {
        observations.zones.insert(it.zone);
    }
    return observations;
}

exit_code plan_command::run()
{
    const operator_name author = options_.require_operator_name();
    const intent_document intent = read_intent(intent_path_);
    operator_connection connection(options_);
    const plan proposed =
        connection.changes().propose(author, intent, read_observations(connection));
    if (options_.wants_json()) {
        out_ << detail::encode_plan(proposed).dump(2) << "\n";
        return exit_code::success;
    }
    detail::print_plan(out_, proposed);
    return exit_code::success;
}

} // namespace papayafall
