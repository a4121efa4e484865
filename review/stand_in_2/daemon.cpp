#include "daemon.hpp"

#include "http.hpp"

#include <nlohmann/json.hpp>

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

namespace {

constexpr const char* program = "target/packages/daemon/papayafalld";
constexpr milliseconds probe_timeout{500};

std::string address(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

} // namespace

daemon_process::daemon_process(std::string name, std::string zone, std::uint16_t store_port,
                               const std::string& directory, record& log)
    : name_(std::move(name)), zone_(std::move(zone)),
      settings_path_(directory + "/" + name_ + ".json"),
      log_path_(directory + "/" + name_ + ".log"), log_(log), frontend_(free_port()),
      readiness_(free_port())
{
    const nlohmann::json settings{{"host", name_},
                                  {"zone", zone_},
                                  {"zones", {"kranj-a", "skofja-b"}},
                                  {"callers", address(frontend_)},
                                  {"readiness", address(readiness_)},
                                  {"metrics", address(free_port())},
                                  {"peers", address(free_port())},
                                  {"store", address(store_port)},
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
    log_.add("process " + name_ + " starts");
    posix_spawn_file_actions_t files;
    ::posix_spawn_file_actions_init(&files);
    ::posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, log_path_.c_str(),
                                       O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
    const std::string variable = "PAPAYAFALL_SETTINGS=" + settings_path_;
    std::vector<char*> environment{const_cast<char*>(variable.c_str())};
    for (char** it = environ; *it != nullptr; ++it) {
        environment.push_back(*it);
    }
    environment.push_back(nullptr);
    std::string path = program;
    std::string option = "--job-dispatcher";
    char* arguments[] = {path.data(), option.data(), nullptr};
    const int ec = ::posix_spawn(&pid_, program, &files, nullptr, arguments, environment.data());
    ::posix_spawn_file_actions_destroy(&files);
    if (ec != 0) {
        pid_ = -1;
        throw std::runtime_error(std::string("cannot start ") + program);
    }
}

void daemon_process::send_signal(int number)
{
    if (pid_ > 0) {
        log_.add("process " + name_ + " gets signal " + std::to_string(number));
        ::kill(pid_, number);
    }
}

bool daemon_process::running()
{
    if (pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == pid_) {
        log_.add("process " + name_ + " has ended");
        pid_ = -1;
    }
    return pid_ > 0;
}

bool daemon_process::ready() const
{
    return call(readiness_, {.method = "GET", .target = "/readiness", .headers = {}, .body = {}},
                probe_timeout)
               .status == 200;
}

} // namespace review
