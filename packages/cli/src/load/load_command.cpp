#include "papayafall/cli/load/load_command.hpp"

#include "papayafall/cli/load/load_runner.hpp"
#include "papayafall/cli/load/load_summary.hpp"
#include "papayafall/core/errors/exception.hpp"

#include <charconv>
#include <cmath>
#include <fstream>
#include <iostream>
#include <map>

namespace papayafall {

namespace {

constexpr const char* examples = R"(Examples:
  30 s of load as a wave between 100 and 400 requests per second on two entry hosts:
    papayafall load --host 127.0.0.1:8080 --host 127.0.0.1:8081 --rate 100 --profile wave

  Bursts of tasks with a tenth of their run times; write the result as JSON to a file:
    papayafall load --host 127.0.0.1:8080 --profile burst --time-scale 0.1 --output load.json

  Bookings only; send every third one a second time, to the next host:
    papayafall load --host 127.0.0.1:8080 --host 127.0.0.1:8081 --service booking \
        --resubmitted-share 0.33 --job-share 0

The tasks are {"id": "...", "run_ms": n}; stand-in-target runs them and answers with the id.)";

endpoint parse_host_argument(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    const std::string port = colon == std::string::npos ? "" : text.substr(colon + 1);
    std::uint16_t number = 0;
    const auto [end, ec] = std::from_chars(port.data(), port.data() + port.size(), number);
    if (ec != std::errc() || end != port.data() + port.size() || number == 0) {
        throw configuration_error(error_id::invalid_settings, "/host",
                                  "'" + text + "' is not of the form ADDRESS:PORT");
    }
    return {.address = text.substr(0, colon), .port = number};
}

/// @param name profile name, already validated by the option parser
load_profile_kind parse_profile(const std::string& name)
{
    static const std::map<std::string, load_profile_kind> profiles{
        {"calm", load_profile_kind::calm},
        {"step", load_profile_kind::step},
        {"burst", load_profile_kind::burst},
        {"wave", load_profile_kind::wave}};
    return profiles.at(name);
}

/// Derives the name of a run from the current time, so that the task ids of two runs differ.
std::string make_run_name(const clock_source& clock)
{
    return "r" + std::to_string(clock.read().wall.time_since_epoch().count());
}

void write_file(const std::string& path, const std::string& text)
{
    std::ofstream file(path);
    file << text << '\n';
    file.close();
    if (!file) {
        throw configuration_error(error_id::invalid_settings, "/output",
                                  "cannot write '" + path + "'");
    }
}

} // namespace

CLI::App* load_command::attach(CLI::App& app)
{
    CLI::App* subcommand =
        app.add_subcommand("load", "Generate load on entry hosts and measure response times");
    subcommand->footer(examples);
    add_target_options(*subcommand);
    add_load_options(*subcommand);
    subcommand->add_option("--output", output_path_, "file to which the result is written as JSON");
    subcommand->add_flag("--json", print_json_, "print the result as JSON instead of a table");
    return subcommand;
}

void load_command::add_target_options(CLI::App& app)
{
    app.add_option("--host", hosts_, "entry host as ADDRESS:PORT; may be repeated")->required();
    app.add_flag_callback(
        "--random-hosts", [this] { plan_.choice = host_choice::random; },
        "choose the entry host at random instead of round robin");
    app.add_option("--service", services_, "service to call; may be repeated");
    app.add_option("--long-service", long_service_,
                   "service of the requests with a long task; default: one of --service");
    app.add_option("--team", team_, "team that submits the requests");
}

void load_command::add_load_options(CLI::App& app)
{
    app.add_option("--profile", profile_, "how the offered rate changes over the run")
        ->check(CLI::IsMember({"calm", "step", "burst", "wave"}))
        ->capture_default_str();
    app.add_option("--rate", plan_.base_rate_per_s,
                   "requests per second outside the crest; the crest has four times the rate")
        ->check(CLI::PositiveNumber)
        ->capture_default_str();
    app.add_option("--seconds", run_length_s_, "duration of the run")
        ->check(CLI::PositiveNumber)
        ->capture_default_str();
    app.add_option("--time-scale", plan_.time_scale, "factor on run times and time limits")
        ->check(CLI::PositiveNumber)
        ->capture_default_str();
    app.add_option("--time-limit-ms", base_time_limit_ms_,
                   "time limit of a request, added to twice its longest run time")
        ->check(CLI::PositiveNumber)
        ->capture_default_str();
    app.add_flag("--short-only", plan_.short_tasks_only, "offer no task of 2 s or more");
    app.add_option("--largest-job", plan_.max_job_tasks, "maximum number of tasks of a job")
        ->check(CLI::Range(1, static_cast<int>(max_tasks_per_job)))
        ->capture_default_str();
    const auto add_share = [&app](const char* name, double& share, const char* text) {
        app.add_option(name, share, text)->check(CLI::Range(0.0, 1.0))->capture_default_str();
    };
    add_share("--job-share", plan_.job_share, "share of jobs");
    add_share("--keyed-share", plan_.keyed_share, "share of requests with an idempotency key");
    add_share("--resubmitted-share", plan_.resubmitted_share,
              "share sent a second time, to the next host with the same key");
    add_share("--cancelled-share", plan_.cancelled_share,
              "share cancelled; cancellations are sent together once a second");
    app.add_option("--seed", plan_.seed, "seed of the schedule")->capture_default_str();
    app.add_option("--threads", plan_.thread_count, "number of sending threads")
        ->check(CLI::PositiveNumber)
        ->capture_default_str();
    app.add_option("--run", plan_.run_name,
                   "prefix of the ids of all tasks; default: from the clock");
}

load_plan load_command::make_plan() const
{
    load_plan plan = plan_;
    for (const std::string& it : hosts_) {
        plan.hosts.push_back(parse_host_argument(it));
    }
    plan.services.clear();
    for (const std::string& it : services_) {
        plan.services.emplace_back(it);
    }
    plan.long_service = service_name(long_service_);
    plan.team = team_name(team_);
    plan.profile = parse_profile(profile_);
    plan.run_length = std::chrono::milliseconds(std::llround(run_length_s_ * 1000));
    plan.base_time_limit = std::chrono::milliseconds(base_time_limit_ms_);
    return plan;
}

exit_code load_command::run()
{
    const system_clock_source clock;
    load_plan plan = make_plan();
    if (plan.run_name.empty()) {
        plan.run_name = make_run_name(clock);
    }
    const duration round_trip = measure_round_trip(plan, clock);
    const load_summary summary = summarise(run_load(plan, plan_requests(plan), clock), round_trip);
    const std::string document = encode_summary(summary);
    if (!output_path_.empty()) {
        write_file(output_path_, document);
    }
    std::cout << (print_json_ ? document + "\n" : format_summary(summary));
    const auto& outcomes = summary.groups.front().outcomes;
    return outcomes.contains(load_outcome::wrong_answer) ? exit_code::refused : exit_code::success;
}

} // namespace papayafall
