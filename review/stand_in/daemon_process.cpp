#include "daemon_process.hpp"

#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <stdexcept>
#include <utility>

namespace review {

namespace {

constexpr milliseconds readiness_period{50};
constexpr milliseconds readiness_timeout{500};

std::string loopback_address(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

std::string variable(const char* name)
{
    const char* const text = std::getenv(name);
    return std::string(name) + "=" + (text == nullptr ? "" : text);
}

} // namespace

daemon_process::daemon_process(event_loop& loop, record& out, std::string root,
                               const std::string& directory, std::string name,
                               const std::string& zone, const std::vector<std::string>& zones,
                               std::uint16_t store_port)
    : loop_(loop), out_(out), root_(std::move(root)), name_(std::move(name)),
      settings_path_(directory + "/" + name_ + ".json"),
      output_path_(directory + "/" + name_ + ".log"), callers_port_(find_free_port()),
      readiness_port_(find_free_port())
{
    // The fields of deploy/settings.json, filled in as for a small machine.
    const nlohmann::json settings{{"host", name_},
                                  {"zone", zone},
                                  {"zones", zones},
                                  {"callers", loopback_address(callers_port_)},
                                  {"readiness", loopback_address(readiness_port_)},
                                  {"metrics", loopback_address(find_free_port())},
                                  {"peers", loopback_address(find_free_port())},
                                  {"store", loopback_address(store_port)},
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
    std::ofstream(settings_path_) << settings.dump(2);
}

daemon_process::~daemon_process()
{
    if (pid_ > 0) {
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
    }
}

void daemon_process::start()
{
    const std::string program = root_ + "/target/packages/daemon/papayafalld";
    const pid_t parent = ::getpid();
    pid_ = ::fork();
    if (pid_ < 0) {
        throw std::runtime_error("no process");
    }
    if (pid_ == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent || ::chdir(root_.c_str()) != 0) {
            ::_exit(127);
        }
        const int output = ::open(output_path_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        std::array<std::string, 4> variables{variable("PATH"), variable("HOME"), variable("LANG"),
                                             "PAPAYAFALL_SETTINGS=" + settings_path_};
        std::array<char*, 5> environment{variables[0].data(), variables[1].data(),
                                         variables[2].data(), variables[3].data(), nullptr};
        std::array<std::string, 2> words{program, "--job-dispatcher"};
        std::array<char*, 3> arguments{words[0].data(), words[1].data(), nullptr};
        ::execve(program.c_str(), arguments.data(), environment.data());
        ::_exit(127);
    }
    out_.write("daemon " + name_ + " starts");
}

void daemon_process::send_signal(int number)
{
    if (running()) {
        out_.write("daemon " + name_ + " gets signal " + std::to_string(number));
        ::kill(pid_, number);
    }
}

bool daemon_process::running()
{
    int status = 0;
    if (pid_ > 0 && ::waitpid(pid_, &status, WNOHANG) == pid_) {
        pid_ = -1;
        out_.write("daemon " + name_ + " has ended, " +
                   (WIFEXITED(status) ? "code " + std::to_string(WEXITSTATUS(status))
                                      : "signal " + std::to_string(WTERMSIG(status))));
    }
    return pid_ > 0;
}

bool daemon_process::wait_until_ready(milliseconds limit)
{
    const time_point end = steady::now() + limit;
    while (steady::now() < end) {
        bool answered = false;
        bool ready = false;
        const auto client = std::make_shared<http_client>(loop_, readiness_port_);
        client->send("GET", "/readiness", {{"Host", "readiness"}}, "", readiness_timeout,
                     [&](const call_result& it) {
                         answered = true;
                         ready = it.status == 200;
                     });
        loop_.run_until([&] { return answered; }, 2 * readiness_timeout);
        client->close();
        if (ready) {
            return true;
        }
        loop_.run_for(readiness_period);
    }
    return false;
}

} // namespace review
