#include "fleet.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <stdexcept>
#include <utility>

namespace review {

namespace {

using nlohmann::json;

constexpr const char* program = "target/packages/daemon/papayafalld";
constexpr const char* program_option = "--job-dispatcher";
constexpr std::int64_t readiness_period_ms = 100;

} // namespace

fleet::fleet(event_loop& loop, store& entries, record& log, std::filesystem::path directory,
             std::vector<std::string> zones)
    : loop_(loop), store_(entries), record_(log), directory_(std::move(directory)),
      zones_(std::move(zones))
{
    if (::access(program, X_OK) != 0) {
        throw std::runtime_error("the program is not built");
    }
}

fleet::~fleet()
{
    for (std::size_t n = 0; n < hosts_.size(); ++n) {
        kill(n);
    }
}

std::size_t fleet::add(const std::string& zone)
{
    const std::size_t number = hosts_.size();
    host added{.name = "edge-" + zone + "-" + std::to_string(number + 1),
               .zone = zone,
               .callers = free_port(),
               .readiness = free_port(),
               .entrance = store_.add_entrance()};
    const auto at = [](int port) { return "127.0.0.1:" + std::to_string(port); };
    // As deploy/settings.json makes it from the fields of a small deployment.
    const json settings{{"host", added.name},
                        {"zone", zone},
                        {"zones", zones_},
                        {"callers", at(added.callers)},
                        {"readiness", at(added.readiness)},
                        {"metrics", at(free_port())},
                        {"peers", at(free_port())},
                        {"store", store_.address(added.entrance)},
                        {"cpu_share", 0.25},
                        {"cores", 1},
                        {"cells_per_zone", 4},
                        {"limits",
                         {{"lease_ms", 1000},
                          {"resubmission_ms", 1300},
                          {"contact_ms", 3000},
                          {"stop_ms", 50},
                          {"shutdown_s", 6}}},
                        {"log", "-"}};
    added.settings = (directory_ / (added.name + ".json")).string();
    std::ofstream(added.settings) << settings.dump(2);
    hosts_.push_back(added);
    start(number);
    return number;
}

void fleet::start(std::size_t number)
{
    host& started = hosts_[number];
    const std::string log = (directory_ / (started.name + ".log")).string();
    const std::string variable = "PAPAYAFALL_SETTINGS=" + started.settings;
    record_.write("start " + started.name);
    const pid_t child = fork();
    if (child == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL); // no process is left if the case itself is killed
        const int output =
            output_ >= 0 ? output_ : open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        std::string words[] = {program, program_option, variable};
        char* arguments[] = {words[0].data(), words[1].data(), nullptr};
        char* environment[] = {words[2].data(), nullptr};
        execve(program, arguments, environment);
        _exit(127);
    }
    started.process = child;
    started.ready = false;
}

void fleet::signal(std::size_t number, int which)
{
    record_.write("signal " + std::to_string(which) + " to " + hosts_[number].name);
    ::kill(hosts_[number].process, which);
}

void fleet::kill(std::size_t number)
{
    host& it = hosts_[number];
    if (it.process <= 0) {
        return;
    }
    ::kill(it.process, SIGKILL);
    waitpid(it.process, nullptr, 0);
    it.process = -1;
    record_.write("killed " + it.name);
}

bool fleet::has_ended(std::size_t number)
{
    host& it = hosts_[number];
    if (it.process > 0 && waitpid(it.process, nullptr, WNOHANG) == it.process) {
        it.process = -1;
        record_.write("ended " + it.name);
    }
    return it.process <= 0;
}

bool fleet::await_readiness(std::int64_t limit_ms)
{
    const std::int64_t end = now_ms() + limit_ms;
    while (now_ms() < end) {
        for (host& it : hosts_) {
            const std::size_t number = static_cast<std::size_t>(&it - hosts_.data());
            http_call::send(loop_, it.readiness,
                            format_request("GET", "/readiness", "127.0.0.1", ""),
                            [this, number](int status, const http_message&) {
                                hosts_[number].ready = hosts_[number].ready || status == 200;
                            });
        }
        loop_.run_for(readiness_period_ms);
        if (std::all_of(hosts_.begin(), hosts_.end(), [](const host& it) { return it.ready; })) {
            return true;
        }
    }
    return false;
}

} // namespace review
