#pragma once

#include "record.hpp"
#include "store.hpp"

#include <sys/types.h>

#include <filesystem>
#include <string>
#include <vector>

namespace review {

/// Hosts of the system as child processes, started with the command of the deploy file.
class fleet {
  public:
    /// @param directory temporary folder for settings and logs
    fleet(event_loop& loop, store& entries, record& log, std::filesystem::path directory,
          std::vector<std::string> zones);
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;
    /// Kills all processes that were started.
    ~fleet();

    /// Adds a host of a zone and starts it.
    /// @return its number
    std::size_t add(const std::string& zone);

    void start(std::size_t host);
    void signal(std::size_t host, int number);
    /// Kills the process and waits for its end.
    void kill(std::size_t host);

    const std::string& name(std::size_t host) const { return hosts_[host].name; }

    int callers_port(std::size_t host) const { return hosts_[host].callers; }

    std::size_t entrance(std::size_t host) const { return hosts_[host].entrance; }

    std::size_t size() const { return hosts_.size(); }

    pid_t process(std::size_t host) const { return hosts_[host].process; }

    /// Waits until every host says that it is ready.
    bool await_readiness(std::int64_t limit_ms);

    /// Whether a host's process has ended by itself.
    bool has_ended(std::size_t host);

    /// Where standard output of the processes started from now on goes; -1: into a file each.
    void set_output(int fd) { output_ = fd; }

  private:
    struct host {
        std::string name;
        std::string zone;
        std::string settings;
        int callers = 0;
        int readiness = 0;
        std::size_t entrance = 0;
        pid_t process = -1;
        bool ready = false;
    };

    event_loop& loop_;
    store& store_;
    record& record_;
    std::filesystem::path directory_;
    std::vector<std::string> zones_;
    std::vector<host> hosts_;
    int output_ = -1;
};

} // namespace review
