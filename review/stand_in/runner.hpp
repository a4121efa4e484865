#pragma once

#include "http.hpp"
#include "record.hpp"
#include "store.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace review {

struct step_definition {
    std::uint32_t count = 1;
    std::int64_t cpu = 1000; ///< in thousandths of a core
    milliseconds work{};     ///< run time of a task
    std::vector<std::uint32_t> after;
    std::string required_label;
};

struct job_definition {
    std::string id;
    std::vector<step_definition> steps;

    nlohmann::json body() const;
};

/// All jobs that clients have sent, by id. Runners look up what a task does.
using job_table = std::map<std::string, job_definition>;

/// Start of a run by a runner, and its end.
struct run_entry {
    std::string runner;
    std::vector<std::string> labels; ///< of the runner's incarnation
    std::string task;
    std::uint64_t run = 0;
    std::int64_t started_ms = 0;
    std::int64_t ended_ms = -1; ///< -1: it goes on
    std::string how;

    std::string job() const { return task.substr(0, task.find('.')); }

    std::size_t step() const;
};

using run_log = std::list<run_entry>;

/// Stand-in of a runner that guards its room and receives calls (`orders` = `invocation`).
class runner {
  public:
    runner(event_loop& loop, store& registry, const job_table& jobs, run_log& runs, record& out,
           std::string id, std::string zone, std::vector<std::string> labels, std::int64_t cpu);

    const std::string& id() const noexcept { return id_; }

    /// Ends as if its process had been killed.
    void crash();
    /// Starts a new incarnation under the same id, at the same address.
    void restart(std::vector<std::string> labels);

  private:
    struct active_run {
        run_entry* entry;
        time_point started_at;
        milliseconds work{};
        std::int64_t cpu = 0;
    };

    struct pending_hold {
        std::uint64_t last_seen = 0;
        time_point deadline;
        http_server::reply_function reply;
    };

    using run_key = std::pair<std::string, std::uint64_t>;

    void register_entry();
    void on_request(const http_message& request, const http_server::reply_function& reply);
    void start_run(const nlohmann::json& body, const http_server::reply_function& reply);
    void stop_run(const nlohmann::json& body, const http_server::reply_function& reply);
    void extend_lease(const nlohmann::json& body);
    void end_run(const run_key& key, const std::string& how);
    void answer(const http_server::reply_function& reply, int status, nlohmann::json body) const;
    void answer_holds();
    std::int64_t clock_ms() const;
    void tick();

    event_loop& loop_;
    store& registry_;
    const job_table& jobs_;
    run_log& log_;
    record& out_;
    std::string id_;
    std::string zone_;
    std::vector<std::string> labels_;
    std::int64_t cpu_;
    std::int64_t born_ms_ = 0;
    bool up_ = true;
    time_point started_at_;
    std::int64_t lease_until_ms_ = 0;
    std::uint64_t highest_token_ = 0;
    std::uint64_t last_end_ = 0;
    std::map<run_key, active_run> runs_;
    std::map<std::string, std::uint64_t> closed_runs_; ///< by task: highest run stopped or ended
    std::map<std::uint64_t, nlohmann::json> ends_;
    std::list<pending_hold> holds_;
    http_server server_;
};

} // namespace review
