#pragma once

#include "http.hpp"
#include "store.hpp"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

/// A start that a worker has carried out.
struct started_run {
    std::int64_t at_ms = 0;
    std::string worker;
    std::string task;
    std::uint64_t number = 0;
    std::vector<std::string> labels; ///< of the life that started it
    std::int64_t ended_at_ms = -1;   ///< -1: it runs
};

/// Stand-in of a runner with its entry in the store. Runs of a task take `run_time`.
class worker {
  public:
    worker(std::string id, std::string zone, std::string service, store& entries, record& log);
    ~worker();

    void set_run_time(milliseconds run_time);

    /// Starts a life of the runner, which listens on the same port as earlier ones and writes its
    /// entry once it does.
    void start(const std::vector<std::string>& labels);

    /// Ends the life: what runs is lost, connections are reset, and nothing listens on the port.
    void crash();

    std::size_t running();
    std::vector<started_run> starts();

    const std::string& id() const noexcept { return id_; }

  private:
    struct run {
        std::uint64_t number = 0;
        std::int64_t started_at = 0;
        std::int64_t ends_at = 0;
    };

    /// All that a crash erases.
    struct life {
        std::int64_t born = 0;
        std::vector<std::string> labels;
        std::uint64_t token = 0;
        std::int64_t lease_until = 0;
        std::uint64_t sequence = 0;
        std::uint64_t last_end = 0;
        std::map<std::string, run> runs;
        std::map<std::string, std::uint64_t> closed; ///< highest run that was stopped or has ended
        std::map<std::uint64_t, nlohmann::json> ended;
    };

    http_reply handle(const http_request& request);
    http_reply start_run(const nlohmann::json& body);
    http_reply stop_run(const nlohmann::json& body);
    http_reply hold(const nlohmann::json& body, std::unique_lock<std::mutex>& lock);
    void end_run(const std::string& task, const char* how);
    void extend_lease(const nlohmann::json& body);
    void tick();
    void write_entry();

    const std::string id_;
    const std::string zone_;
    const std::string service_;
    store& entries_;
    record& log_;
    const std::uint16_t port_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::int64_t run_time_ms_ = 50;
    std::unique_ptr<life> life_;
    std::int64_t next_beat_at_ = 0;
    std::vector<started_run> starts_;
    bool stopped_ = false;
    std::thread ticker_;
    std::unique_ptr<http_server> server_;
};

} // namespace review
