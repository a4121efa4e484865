#pragma once

#include "fleet.hpp"
#include "runner.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace review {

inline constexpr int exit_could_not_run = 2;

/// Whether the case is to run with its disruption.
inline bool has_trouble()
{
    const char* const text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

/// Folder that is removed at the end.
class temporary_folder {
  public:
    temporary_folder()
    {
        std::string name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        path_ = mkdtemp(name.data());
    }

    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;

    ~temporary_folder()
    {
        std::error_code ignored;
        if (std::getenv("KEEP") == nullptr) {
            std::filesystem::remove_all(path_, ignored);
        }
    }

    const std::filesystem::path& path() const { return path_; }

  private:
    std::filesystem::path path_;
};

inline constexpr const char* queue_host = "queue.example";
inline constexpr const char* queue_prefix = "/jobs/";

/// Objective of the queues of the pages' deployments, on top of the stretched run time.
inline constexpr std::int64_t urgent_target_ms = 60;

/// Writes the configuration: one queue to the service `desk`.
inline void put_configuration(store& entries, bool enforces_capacity,
                              std::int64_t target_ms = urgent_target_ms)
{
    entries.put("op/config",
                {{"version", 7},
                 {"routes",
                  {{{"name", "r-jobs"},
                    {"hostname", queue_host},
                    {"prefix", queue_prefix},
                    {"type", "unsafe"},
                    {"timeout_ms", 15000},
                    {"target_duration_ms", target_ms},
                    {"priority", 0},
                    {"service", "desk"},
                    {"max_attempts", 2},
                    {"stretch", 1.6}}}},
                 {"services",
                  {{{"name", "desk"},
                    {"health_path", "/health"},
                    {"max_connections", 64},
                    {"protocol", "h1"},
                    {"tls", false},
                    {"enforces_capacity", enforces_capacity},
                    {"spare", false}}}},
                 {"limits", {{"max_header_bytes", 16384}, {"max_body_bytes", 262144}}}});
}

/// Id of the job with a number.
inline std::string job_id(std::uint64_t number)
{
    std::string text = std::to_string(number);
    return std::string(16 - text.size(), '0') + text;
}

/// A job of one step.
inline std::string job_body(std::int64_t length_ms, int tasks, std::int64_t cpu)
{
    return nlohmann::json{
        {"spec", std::to_string(length_ms)},
        {"best_effort", true},
        {"steps", {{{"count", tasks}, {"cpu", cpu}, {"mem_mb", 64}, {"estimated_ms", length_ms}}}}}
        .dump();
}

/// Sends a job to a host.
inline std::shared_ptr<http_call> submit(event_loop& loop, record& log, const fleet& hosts,
                                         std::size_t host, const std::string& id,
                                         const std::string& body, std::int64_t deadline_ms,
                                         http_call::handler on_end)
{
    log.write("POST " + id + " to " + hosts.name(host));
    return http_call::send(
        loop, hosts.callers_port(host),
        format_request("POST", queue_prefix + id, queue_host, body,
                       "Papayafall-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n"),
        [&log, id, on_end = std::move(on_end)](int status, const http_message& answer) {
            log.write("answer to POST " + id + ": " + std::to_string(status) + " " + answer.body);
            on_end(status, answer);
        });
}

/// Sends jobs until one is answered with success at each host.
/// @param next_job number of the last job that was sent
inline bool await_service(event_loop& loop, record& log, const fleet& hosts,
                          std::uint64_t& next_job, std::int64_t limit_ms)
{
    std::set<std::size_t> serving;
    const std::int64_t end = now_ms() + limit_ms;
    while (serving.size() < hosts.size() && now_ms() < end) {
        for (std::size_t n = 0; n < hosts.size(); ++n) {
            if (serving.contains(n)) {
                continue;
            }
            bool answered = false;
            submit(loop, log, hosts, n, job_id(++next_job), job_body(20, 1, 1000), 3000,
                   [&](int status, const http_message&) {
                       answered = true;
                       if (status == 200) {
                           serving.insert(n);
                       }
                   });
            loop.run_until([&] { return answered; }, 4000);
        }
        loop.run_for(100);
    }
    return serving.size() == hosts.size();
}

} // namespace review
