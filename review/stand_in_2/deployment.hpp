#pragma once

#include "daemon.hpp"
#include "store.hpp"
#include "worker.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace review {

/// Exit codes of a case.
enum class verdict : int { held = 0, broken = 1, not_run = 2 };

// Bounds as in the site files.
inline constexpr std::int64_t cancel_ms = 3000;
inline constexpr std::int64_t ack_ms = 4000;
inline constexpr std::int64_t resend_ms = 1300;

inline constexpr const char* hostname = "desk.example";
inline constexpr const char* prefix = "/quick/";
inline constexpr const char* service = "kit-desk";

/// Waits until the condition holds.
/// @return false after `limit`
bool wait_until(milliseconds limit, const std::function<bool()>& condition);

/// A small deployment: the store, some runners and the processes of the edge machines.
class deployment {
  public:
    /// @param directory for settings files and logs
    deployment(const std::string& directory, record& log);

    daemon_process& add_daemon(const std::string& name, const std::string& zone);
    worker& add_worker(const std::string& id, const std::string& zone,
                       const std::vector<std::string>& labels);

    /// Writes a configuration as the operator does.
    void configure(std::uint64_t version, bool with_route, std::int64_t timeout_ms);

    /// Starts all processes and waits until they are ready and share the cells for good.
    bool start();

    /// Name of the host that holds the cells of a zone; empty if there is no such single host.
    std::string holder_of(const std::string& zone);

    /// All starts of all runners, in order.
    std::vector<started_run> starts();

    store& platform_store() noexcept { return store_; }

    record& log() noexcept { return log_; }

    daemon_process& daemon(const std::string& name);

    bool all_running();

  private:
    std::string directory_;
    record& log_;
    store store_;
    std::vector<std::unique_ptr<worker>> workers_;
    std::vector<std::unique_ptr<daemon_process>> daemons_;
};

/// A step of a job.
struct step_text {
    int count = 1;
    std::int64_t cpu = 2000;
    std::int64_t estimated_ms = 50;
    std::string required_label;
};

/// Body of a job that needs no keeping, whose steps follow one another.
std::string job_body(const std::vector<step_text>& chain);

http_request submission(const std::string& id, const std::string& body, milliseconds deadline);
http_request cancellation(const std::string& id, milliseconds deadline);

} // namespace review
