#include "deployment.hpp"

#include <algorithm>
#include <stdexcept>

namespace review {

namespace {

using nlohmann::json;

constexpr int cells_per_zone = 4;
constexpr milliseconds start_limit{20'000};
constexpr milliseconds settle_time{4000};

} // namespace

bool wait_until(milliseconds limit, const std::function<bool()>& condition)
{
    const steady::time_point end = steady::now() + limit;
    while (!condition()) {
        if (steady::now() >= end) {
            return false;
        }
        std::this_thread::sleep_for(milliseconds(5));
    }
    return true;
}

deployment::deployment(const std::string& directory, record& log) : directory_(directory), log_(log)
{
}

daemon_process& deployment::add_daemon(const std::string& name, const std::string& zone)
{
    daemons_.push_back(
        std::make_unique<daemon_process>(name, zone, store_.port(), directory_, log_));
    return *daemons_.back();
}

worker& deployment::add_worker(const std::string& id, const std::string& zone,
                               const std::vector<std::string>& labels)
{
    workers_.push_back(std::make_unique<worker>(id, zone, service, store_, log_));
    workers_.back()->start(labels);
    return *workers_.back();
}

void deployment::configure(std::uint64_t version, bool with_route, std::int64_t timeout_ms)
{
    const auto route = [timeout_ms](const char* name, const char* path) {
        return json{{"name", name},     {"hostname", hostname},     {"prefix", path},
                    {"type", "unsafe"}, {"timeout_ms", timeout_ms}, {"target_duration_ms", 60},
                    {"priority", 0},    {"service", service},       {"max_attempts", 3},
                    {"stretch", 1.6}};
    };
    json routes = json::array({route("r-other", "/other/")});
    if (with_route) {
        routes.push_back(route("r-quick", prefix));
    }
    store_.put("op/config", {{"version", version},
                             {"routes", routes},
                             {"services",
                              {{{"name", service},
                                {"health_path", "/health"},
                                {"max_connections", 64},
                                {"protocol", "h1"},
                                {"tls", false},
                                {"enforces_capacity", true},
                                {"spare", false}}}},
                             {"limits",
                              {{"max_header_bytes", 16384},
                               {"max_body_bytes", 262144},
                               {"header_timeout_ms", 3000},
                               {"idle_timeout_ms", 15000}}}});
    log_.add("operator: configuration " + std::to_string(version) + " acknowledged, " +
             (with_route ? "with" : "without") + " the route " + prefix + ", timeout_ms " +
             std::to_string(timeout_ms));
}

bool deployment::start()
{
    for (const auto& it : daemons_) {
        it->start();
    }
    const bool ready = wait_until(start_limit, [this] {
        return std::all_of(daemons_.begin(), daemons_.end(), [this](const auto& it) {
            return it->ready() && !holder_of(it->zone()).empty();
        });
    });
    std::this_thread::sleep_for(settle_time);
    return ready && all_running();
}

std::string deployment::holder_of(const std::string& zone)
{
    std::string found;
    for (int n = 0; n < cells_per_zone; ++n) {
        const json claim = store_.get("papayafall/cells/" + zone + "/" + std::to_string(n));
        const std::string holder = claim.is_null() ? std::string() : claim.value("host", "");
        if (holder.empty() || (n > 0 && holder != found)) {
            return {};
        }
        found = holder;
    }
    return found;
}

std::vector<started_run> deployment::starts()
{
    std::vector<started_run> all;
    for (const auto& it : workers_) {
        const std::vector<started_run> some = it->starts();
        all.insert(all.end(), some.begin(), some.end());
    }
    std::sort(all.begin(), all.end(),
              [](const started_run& l, const started_run& r) { return l.at_ms < r.at_ms; });
    return all;
}

daemon_process& deployment::daemon(const std::string& name)
{
    for (const auto& it : daemons_) {
        if (it->name() == name) {
            return *it;
        }
    }
    throw std::runtime_error("no process " + name);
}

bool deployment::all_running()
{
    return std::all_of(daemons_.begin(), daemons_.end(),
                       [](const auto& it) { return it->running(); });
}

std::string job_body(const std::vector<step_text>& chain)
{
    json steps = json::array();
    for (std::size_t n = 0; n < chain.size(); ++n) {
        json step{{"count", chain[n].count},
                  {"cpu", chain[n].cpu},
                  {"mem_mb", 64},
                  {"estimated_ms", chain[n].estimated_ms}};
        if (!chain[n].required_label.empty()) {
            step["required_label"] = chain[n].required_label;
        }
        if (n > 0) {
            step["after"] = {n - 1};
        }
        steps.push_back(step);
    }
    return json{{"spec", "work"}, {"best_effort", true}, {"steps", steps}}.dump();
}

http_request submission(const std::string& id, const std::string& body, milliseconds deadline)
{
    return {.method = "POST",
            .target = prefix + id,
            .headers = {{"Host", hostname},
                        {"Papayafall-Deadline-Ms", std::to_string(deadline.count())}},
            .body = body};
}

http_request cancellation(const std::string& id, milliseconds deadline)
{
    return {.method = "DELETE",
            .target = prefix + id,
            .headers = {{"Host", hostname},
                        {"Papayafall-Deadline-Ms", std::to_string(deadline.count())}},
            .body = {}};
}

} // namespace review
