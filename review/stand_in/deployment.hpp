#pragma once

#include "daemon_process.hpp"
#include "runner.hpp"
#include "store.hpp"

#include <filesystem>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

namespace review {

/// Thrown if the case could not run, so that it says nothing about the rule.
class case_not_run : public std::runtime_error {
  public:
    using std::runtime_error::runtime_error;
};

/// One request of a client and what came of it.
struct attempt {
    std::string job;
    std::string daemon;
    std::int64_t sent_ms = 0;
    std::int64_t ended_ms = -1; ///< -1: open
    int status = 0;             ///< 0: no complete response
    bool timed_out = false;
};

/// A small deployment: the stand-ins of store, runners and clients, and the daemons.
class deployment {
  public:
    /// @param root      root of the repository
    /// @param directory folder of the case, for its record
    deployment(const std::string& root, const std::string& directory);
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;
    ~deployment();

    event_loop loop;
    record out;
    store registry;
    job_table jobs;
    run_log runs;
    std::list<attempt> attempts;

    daemon_process& add_daemon(const std::string& name, const std::string& zone);
    runner& add_runner(const std::string& id, const std::string& zone,
                       std::vector<std::string> labels, std::int64_t cpu = 64'000);

    /// Starts the daemons and waits until each serves a job.
    /// @throws case_not_run if one does not in time
    void start();

    /// Makes a job with a new id.
    const job_definition& make_job(std::vector<step_definition> steps);

    using answer_handler = std::function<void(const attempt&, const call_result&)>;

    /// Sends a job over the connection, or over a new one.
    void submit(const std::shared_ptr<http_client>& client, const daemon_process& daemon,
                const std::string& job, milliseconds deadline, answer_handler handle = {});

    std::shared_ptr<http_client> connect(const daemon_process& daemon);

    static std::string path_of(const std::string& job) { return "/desk/" + job; }

    static constexpr const char* hostname = "desk.example";

  private:
    std::string root_;
    std::filesystem::path directory_;
    std::vector<std::unique_ptr<daemon_process>> daemons_;
    std::vector<std::unique_ptr<runner>> runners_;
    std::uint64_t last_job_ = 0;
};

} // namespace review
