#include "worker.hpp"

#include <algorithm>
#include <utility>

namespace review {

namespace {

using nlohmann::json;

constexpr std::int64_t max_lease_ms = 1000; // hold_max_ms
constexpr std::int64_t beat_ms = 1500;      // heartbeat_interval_ms
constexpr std::int64_t cpu = 64'000;
constexpr std::int64_t memory_mb = 262'144;
constexpr milliseconds tick_period{5};

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

http_reply reply(int status, json body)
{
    body["clock_ms"] = now_ms();
    return {.status = status, .body = body.dump()};
}

http_reply conflict(const char* reason)
{
    return reply(409, {{"reason", reason}});
}

} // namespace

worker::worker(std::string id, std::string zone, std::string service, store& entries, record& log)
    : id_(std::move(id)), zone_(std::move(zone)), service_(std::move(service)), entries_(entries),
      log_(log), port_(free_port())
{
    ticker_ = std::thread([this] {
        std::unique_lock lock(mutex_);
        while (!stopped_) {
            tick();
            lock.unlock();
            write_entry();
            std::this_thread::sleep_for(tick_period);
            lock.lock();
        }
    });
}

worker::~worker()
{
    crash();
    {
        const std::lock_guard lock(mutex_);
        stopped_ = true;
    }
    ticker_.join();
}

void worker::set_run_time(milliseconds run_time)
{
    const std::lock_guard lock(mutex_);
    run_time_ms_ = run_time.count();
}

void worker::start(const std::vector<std::string>& labels)
{
    {
        const std::lock_guard lock(mutex_);
        life_ = std::make_unique<life>();
        life_->born = unix_ms();
        life_->labels = labels;
        next_beat_at_ = 0;
    }
    server_ =
        std::make_unique<http_server>(port_, [this](const http_request& it) { return handle(it); });
    std::string text;
    for (const std::string& it : labels) {
        text += " " + it;
    }
    log_.add("worker " + id_ + " up, labels:" + text);
    write_entry();
}

void worker::crash()
{
    if (server_ == nullptr) {
        return;
    }
    {
        const std::lock_guard lock(mutex_);
        life_.reset();
        for (started_run& it : starts_) {
            it.ended_at_ms = it.ended_at_ms < 0 ? now_ms() : it.ended_at_ms;
        }
    }
    changed_.notify_all();
    server_->stop();
    server_.reset();
    log_.add("worker " + id_ + " down");
}

std::size_t worker::running()
{
    const std::lock_guard lock(mutex_);
    return life_ == nullptr ? 0 : life_->runs.size();
}

std::vector<started_run> worker::starts()
{
    const std::lock_guard lock(mutex_);
    return starts_;
}

http_reply worker::handle(const http_request& request)
{
    std::unique_lock lock(mutex_);
    if (life_ == nullptr) {
        return {};
    }
    if (const auto it = request.headers.find("papayafall-expect-instance");
        it != request.headers.end() && it->second != id_) {
        return reply(421, json::object());
    }
    const json body = json::parse(request.body);
    const std::uint64_t token = body.value("fencing_token", std::uint64_t{0});
    if (token < life_->token) {
        return conflict("fence");
    }
    life_->token = token;
    if (request.target == "/run-start") {
        return start_run(body);
    }
    if (request.target == "/run-stop") {
        return stop_run(body);
    }
    return request.target == "/hold" ? hold(body, lock) : reply(400, json::object());
}

http_reply worker::start_run(const json& body)
{
    const std::string task = body.at("task");
    const auto number = body.at("run").get<std::uint64_t>();
    if (body.at("until_ms").get<std::int64_t>() <= now_ms()) {
        return conflict("late");
    }
    extend_lease(body);
    if (const auto it = life_->runs.find(task); it != life_->runs.end()) {
        return it->second.number == number ? reply(200, json::object()) : conflict("old");
    }
    if (const auto it = life_->closed.find(task);
        it != life_->closed.end() && number <= it->second) {
        return conflict("old");
    }
    life_->runs[task] = {
        .number = number, .started_at = now_ms(), .ends_at = now_ms() + run_time_ms_};
    starts_.push_back({.at_ms = now_ms(),
                       .worker = id_,
                       .task = task,
                       .number = number,
                       .labels = life_->labels,
                       .ended_at_ms = -1});
    log_.add("worker " + id_ + " starts " + task + " run " + std::to_string(number));
    return reply(200, json::object());
}

http_reply worker::stop_run(const json& body)
{
    const std::string task = body.at("task");
    const auto number = body.at("run").get<std::uint64_t>();
    if (const auto it = life_->runs.find(task);
        it != life_->runs.end() && it->second.number <= number) {
        end_run(task, "stopped");
    }
    life_->closed[task] = std::max(life_->closed[task], number);
    changed_.notify_all();
    return reply(200, json::object());
}

http_reply worker::hold(const json& body, std::unique_lock<std::mutex>& lock)
{
    extend_lease(body);
    const auto seen = body.value("last_seen", std::uint64_t{0});
    const std::int64_t end = now_ms() + body.value("wait_ms", std::int64_t{0});
    const life* const asked = life_.get();
    life_->ended.erase(life_->ended.begin(), life_->ended.upper_bound(seen));
    while (life_.get() == asked && life_->ended.empty() && now_ms() < end) {
        changed_.wait_for(lock, milliseconds(end - now_ms()));
    }
    if (life_.get() != asked || life_ == nullptr) {
        return {};
    }
    json running = json::array();
    for (const auto& [task, it] : life_->runs) {
        const std::int64_t length = std::max<std::int64_t>(1, it.ends_at - it.started_at);
        running.push_back({task, it.number, "", (now_ms() - it.started_at) * 100 / length});
        running.back()[3] = std::clamp<std::int64_t>(running.back()[3], 0, 100);
    }
    json ended = json::array();
    for (const auto& [n, it] : life_->ended) {
        ended.push_back(it);
    }
    return reply(200, {{"born", life_->born}, {"running", running}, {"ended", ended}});
}

void worker::end_run(const std::string& task, const char* how)
{
    const std::uint64_t number = life_->runs.at(task).number;
    life_->runs.erase(task);
    for (started_run& it : starts_) {
        if (it.task == task && it.number == number && it.ended_at_ms < 0) {
            it.ended_at_ms = now_ms();
        }
    }
    life_->closed[task] = std::max(life_->closed[task], number);
    ++life_->last_end;
    life_->ended[life_->last_end] = {life_->last_end, task, number, how, ""};
    log_.add("worker " + id_ + " ends " + task + " run " + std::to_string(number) + " " + how);
    changed_.notify_all();
}

void worker::extend_lease(const json& body)
{
    const auto until = body.value("until_ms", std::int64_t{0});
    life_->lease_until = std::max(life_->lease_until, std::min(until, now_ms() + max_lease_ms));
}

void worker::tick()
{
    if (life_ == nullptr) {
        return;
    }
    std::vector<std::pair<std::string, const char*>> ends;
    for (const auto& [task, it] : life_->runs) {
        if (life_->lease_until <= now_ms()) {
            ends.emplace_back(task, "lapsed");
        } else if (it.ends_at <= now_ms()) {
            ends.emplace_back(task, "done");
        }
    }
    for (const auto& [task, how] : ends) {
        end_run(task, how);
    }
}

void worker::write_entry()
{
    json entry;
    {
        const std::lock_guard lock(mutex_);
        if (life_ == nullptr || now_ms() < next_beat_at_) {
            return;
        }
        next_beat_at_ = now_ms() + beat_ms;
        entry = {{"service", service_},
                 {"address", "127.0.0.1:" + std::to_string(port_)},
                 {"zone", zone_},
                 {"version", "v1"},
                 {"slots", 8},
                 {"state", "ready"},
                 {"cold_remaining_ms", 0},
                 {"sequence", ++life_->sequence},
                 {"born", life_->born},
                 {"clock_ms", now_ms()},
                 {"room", {{"cpu", cpu}, {"mem_mb", memory_mb}, {"gpu", 0}}},
                 {"labels", life_->labels}};
    }
    entries_.put("servers/" + id_, entry);
}

} // namespace review
