#include "deployment.hpp"

#include <cstdio>
#include <cstdlib>

namespace review {

namespace {

using nlohmann::json;

const std::vector<std::string> zones{"zone-a", "zone-b"};
constexpr milliseconds start_limit{20'000};
constexpr milliseconds probe_deadline{1500};
constexpr milliseconds probe_pause{200};
/// Time that links and claims get to settle after the start, as in a deployment, where traffic
/// starts 10 s after the machines.
constexpr milliseconds settling_time{5000};

std::filesystem::path make_temporary_directory()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr) {
        throw case_not_run("no temporary directory");
    }
    return pattern;
}

} // namespace

deployment::deployment(const std::string& root, const std::string& directory)
    : out(directory + "/record.txt"), registry(loop), root_(root),
      directory_(make_temporary_directory())
{
    registry.put("op/config", {{"version", 7},
                               {"routes",
                                {{{"name", "r-desk"},
                                  {"hostname", hostname},
                                  {"prefix", "/desk/"},
                                  {"type", "unsafe"},
                                  {"timeout_ms", 10'000},
                                  {"target_duration_ms", 500},
                                  {"priority", 0},
                                  {"service", "desk"},
                                  {"max_attempts", 3},
                                  {"stretch", 1.6}}}},
                               {"services",
                                {{{"name", "desk"},
                                  {"health_path", "/health"},
                                  {"max_connections", 64},
                                  {"protocol", "h1"},
                                  {"tls", false},
                                  {"enforces_capacity", true},
                                  {"spare", false}}}},
                               {"limits",
                                {{"max_header_bytes", 16'384},
                                 {"max_body_bytes", 262'144},
                                 {"header_timeout_ms", 3000},
                                 {"idle_timeout_ms", 15'000}}}});
}

deployment::~deployment()
{
    daemons_.clear();
    std::error_code ec;
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(directory_, ec);
    } else {
        std::printf("logs in %s\n", directory_.c_str());
    }
}

daemon_process& deployment::add_daemon(const std::string& name, const std::string& zone)
{
    daemons_.push_back(std::make_unique<daemon_process>(loop, out, root_, directory_.string(), name,
                                                        zone, zones, registry.port()));
    return *daemons_.back();
}

runner& deployment::add_runner(const std::string& id, const std::string& zone,
                               std::vector<std::string> labels, std::int64_t cpu)
{
    runners_.push_back(std::make_unique<runner>(loop, registry, jobs, runs, out, id, zone,
                                                std::move(labels), cpu));
    return *runners_.back();
}

void deployment::start()
{
    for (const auto& it : daemons_) {
        it->start();
    }
    for (const auto& it : daemons_) {
        if (!it->wait_until_ready(start_limit)) {
            throw case_not_run(it->name() + " is not ready");
        }
    }
    loop.run_for(settling_time);
    for (const auto& it : daemons_) {
        bool served = false;
        const time_point end = steady::now() + start_limit;
        while (!served && steady::now() < end) {
            bool answered = false;
            const auto client = connect(*it);
            submit(client, *it, make_job({{.work = milliseconds(50)}}).id, probe_deadline,
                   [&](const attempt&, const call_result& result) {
                       answered = true;
                       served = result.status == 200;
                   });
            loop.run_until([&] { return answered; }, 2 * probe_deadline);
            loop.run_for(probe_pause);
        }
        if (!served) {
            throw case_not_run(it->name() + " serves no job");
        }
    }
    out.write("all daemons serve jobs");
}

const job_definition& deployment::make_job(std::vector<step_definition> steps)
{
    std::array<char, 17> id{};
    std::snprintf(id.data(), id.size(), "%016llx",
                  static_cast<unsigned long long>(0x5c0e7a2100000000ULL + ++last_job_));
    return jobs[id.data()] = {.id = id.data(), .steps = std::move(steps)};
}

std::shared_ptr<http_client> deployment::connect(const daemon_process& daemon)
{
    return std::make_shared<http_client>(loop, daemon.callers_port());
}

void deployment::submit(const std::shared_ptr<http_client>& client, const daemon_process& daemon,
                        const std::string& job, milliseconds deadline, answer_handler handle)
{
    attempt& current = attempts.emplace_back(
        attempt{.job = job, .daemon = daemon.name(), .sent_ms = out.elapsed_ms()});
    out.write("job " + job + " is sent to " + daemon.name());
    client->send("POST", path_of(job),
                 {{"Host", hostname}, {"Papayafall-Deadline-Ms", std::to_string(deadline.count())}},
                 jobs.at(job).body().dump(), deadline,
                 [this, client, &current, handle](const call_result& result) {
                     current.ended_ms = out.elapsed_ms();
                     current.status = result.status;
                     current.timed_out = result.timed_out;
                     const std::string end =
                         result.timed_out ? "no response in time, the client closes the connection"
                         : result.status == 0 ? "the connection ended without a response"
                                              : std::to_string(result.status) + " " + result.body;
                     out.write("job " + current.job + " at " + current.daemon + ": " + end);
                     if (handle) {
                         handle(current, result);
                     }
                 });
}

} // namespace review
