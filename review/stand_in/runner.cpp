#include "runner.hpp"

#include <algorithm>
#include <sstream>

namespace review {

namespace {

using nlohmann::json;

constexpr milliseconds tick_period{2};
constexpr std::int64_t hold_max_ms = 1000;
constexpr std::size_t max_returned_ends = 500;
/// Three heartbeat intervals, after which the entry of a silent runner is removed.
constexpr milliseconds entry_lifetime{4500};
/// Reading of the steady clock at the start of an incarnation.
constexpr std::int64_t first_clock_ms = 1000;

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

json job_definition::body() const
{
    json rows = json::array();
    for (const step_definition& it : steps) {
        json row{{"count", it.count},
                 {"cpu", it.cpu},
                 {"mem_mb", 64},
                 {"estimated_ms", it.work.count()}};
        if (!it.after.empty()) {
            row["after"] = it.after;
        }
        if (!it.required_label.empty()) {
            row["required_label"] = it.required_label;
        }
        rows.push_back(std::move(row));
    }
    return {{"spec", "spec of " + id}, {"best_effort", true}, {"steps", rows}};
}

std::size_t run_entry::step() const
{
    std::istringstream parts(task);
    std::string part;
    for (int n = 0; n < 3; ++n) {
        std::getline(parts, part, '.');
    }
    return std::stoul(part);
}

runner::runner(event_loop& loop, store& registry, const job_table& jobs, run_log& runs, record& out,
               std::string id, std::string zone, std::vector<std::string> labels, std::int64_t cpu)
    : loop_(loop), registry_(registry), jobs_(jobs), log_(runs), out_(out), id_(std::move(id)),
      zone_(std::move(zone)), labels_(std::move(labels)), cpu_(cpu), born_ms_(unix_ms()),
      started_at_(steady::now()),
      server_(loop, find_free_port(),
              [this](const http_message& request, const http_server::reply_function& reply) {
                  on_request(request, reply);
              })
{
    register_entry();
    tick();
}

void runner::register_entry()
{
    registry_.put("servers/" + id_, {{"service", "desk"},
                                     {"address", "127.0.0.1:" + std::to_string(server_.port())},
                                     {"zone", zone_},
                                     {"version", "v1"},
                                     {"slots", 8},
                                     {"state", "ready"},
                                     {"cold_remaining_ms", 0},
                                     {"room", {{"cpu", cpu_}, {"mem_mb", 262144}, {"gpu", 0}}},
                                     {"labels", labels_},
                                     {"born", born_ms_},
                                     {"clock_ms", clock_ms()},
                                     {"sequence", 1}});
}

void runner::crash()
{
    out_.write("runner " + id_ + " crashes");
    up_ = false;
    server_.close();
    holds_.clear();
    while (!runs_.empty()) {
        end_run(runs_.begin()->first, "crashed");
    }
    const std::int64_t born = born_ms_;
    loop_.after(entry_lifetime, [this, born] {
        if (born_ms_ == born) {
            registry_.remove("servers/" + id_);
        }
    });
}

void runner::restart(std::vector<std::string> labels)
{
    labels_ = std::move(labels);
    born_ms_ = unix_ms();
    started_at_ = steady::now();
    lease_until_ms_ = 0;
    highest_token_ = 0;
    last_end_ = 0;
    closed_runs_.clear();
    ends_.clear();
    up_ = true;
    server_.open();
    register_entry();
    out_.write("runner " + id_ + " is back with labels " + json(labels_).dump());
}

std::int64_t runner::clock_ms() const
{
    return first_clock_ms +
           std::chrono::duration_cast<milliseconds>(steady::now() - started_at_).count();
}

void runner::answer(const http_server::reply_function& reply, int status, json body) const
{
    body["clock_ms"] = clock_ms();
    body["born"] = born_ms_;
    reply(status, body.dump());
}

void runner::on_request(const http_message& request, const http_server::reply_function& reply)
{
    const std::string path = request.word(1);
    if (path == "/health") {
        answer(reply, 200, json::object());
        return;
    }
    const std::string expected = request.header("papayafall-expect-instance");
    if (!expected.empty() && expected != id_) {
        answer(reply, 421, json::object());
        return;
    }
    const json body = json::parse(request.body);
    const auto token = body.value("fencing_token", std::uint64_t{0});
    if (token < highest_token_) {
        answer(reply, 409, {{"reason", "fence"}});
        return;
    }
    highest_token_ = token;
    if (path == "/run-start") {
        start_run(body, reply);
    } else if (path == "/run-stop") {
        stop_run(body, reply);
    } else if (path == "/hold") {
        extend_lease(body);
        const auto last_seen = body.value("last_seen", std::uint64_t{0});
        ends_.erase(ends_.begin(), ends_.upper_bound(last_seen));
        const milliseconds wait(body.value("wait_ms", std::int64_t{0}));
        holds_.push_back(
            {.last_seen = last_seen, .deadline = steady::now() + wait, .reply = reply});
        answer_holds();
    } else {
        answer(reply, 400, json::object());
    }
}

void runner::start_run(const json& body, const http_server::reply_function& reply)
{
    const std::string task = body.at("task");
    const auto number = body.at("run").get<std::uint64_t>();
    if (body.value("until_ms", std::int64_t{0}) <= clock_ms()) {
        answer(reply, 409, {{"reason", "late"}});
        return;
    }
    extend_lease(body);
    if (runs_.contains({task, number})) {
        answer(reply, 200, json::object());
        return;
    }
    if (const auto it = closed_runs_.find(task); it != closed_runs_.end() && number <= it->second) {
        answer(reply, 409, {{"reason", "old"}});
        return;
    }
    run_entry entry{.runner = id_,
                    .labels = labels_,
                    .task = task,
                    .run = number,
                    .started_ms = out_.elapsed_ms(),
                    .how = {}};
    const auto job = jobs_.find(entry.job());
    if (job == jobs_.end() || entry.step() >= job->second.steps.size()) {
        answer(reply, 400, json::object());
        return;
    }
    const step_definition& step = job->second.steps[entry.step()];
    std::int64_t used = 0;
    for (const auto& [key, it] : runs_) {
        used += it.cpu;
    }
    if (used + step.cpu > cpu_) {
        answer(reply, 409, {{"reason", "room"}});
        return;
    }
    log_.push_back(entry);
    runs_[{task, number}] = {
        .entry = &log_.back(), .started_at = steady::now(), .work = step.work, .cpu = step.cpu};
    out_.write("run starts: " + task + " run " + std::to_string(number) + " on " + id_);
    answer(reply, 200, json::object());
}

void runner::stop_run(const json& body, const http_server::reply_function& reply)
{
    const std::string task = body.at("task");
    const auto number = body.at("run").get<std::uint64_t>();
    if (runs_.contains({task, number})) {
        end_run({task, number}, "stopped");
    }
    std::uint64_t& closed = closed_runs_[task];
    closed = std::max(closed, number);
    answer(reply, 200, json::object());
    answer_holds();
}

void runner::extend_lease(const json& body)
{
    const auto until = body.value("until_ms", std::int64_t{0});
    lease_until_ms_ = std::max(lease_until_ms_, std::min(until, clock_ms() + hold_max_ms));
}

void runner::end_run(const run_key& key, const std::string& how)
{
    const auto& [task, number] = key;
    run_entry& entry = *runs_.at(key).entry;
    entry.ended_ms = out_.elapsed_ms();
    entry.how = how;
    out_.write("run ends: " + task + " run " + std::to_string(number) + " on " + id_ + ": " + how);
    std::uint64_t& closed = closed_runs_[task];
    closed = std::max(closed, number);
    ++last_end_;
    ends_[last_end_] = json::array({last_end_, task, number, how, ""});
    runs_.erase(run_key(key));
}

void runner::answer_holds()
{
    for (auto it = holds_.begin(); it != holds_.end();) {
        const bool has_ends = ends_.upper_bound(it->last_seen) != ends_.end();
        if (!has_ends && steady::now() < it->deadline) {
            ++it;
            continue;
        }
        json running = json::array();
        for (const auto& [key, active] : runs_) {
            const auto passed = (steady::now() - active.started_at) * 100;
            const auto percent = passed / std::max(active.work, milliseconds(1));
            running.push_back(json::array(
                {key.first, key.second, "", std::min<std::int64_t>(percent, 100), active.cpu}));
        }
        json ended = json::array();
        for (auto end = ends_.upper_bound(it->last_seen);
             end != ends_.end() && ended.size() < max_returned_ends; ++end) {
            ended.push_back(end->second);
        }
        answer(it->reply, 200, {{"running", running}, {"ended", ended}});
        it = holds_.erase(it);
    }
}

void runner::tick()
{
    if (up_) {
        const bool lapsed = lease_until_ms_ <= clock_ms();
        std::vector<std::pair<run_key, std::string>> over;
        for (const auto& [key, it] : runs_) {
            if (lapsed) {
                over.emplace_back(key, "lapsed");
            } else if (steady::now() >= it.started_at + it.work) {
                over.emplace_back(key, "done");
            }
        }
        for (const auto& [key, how] : over) {
            end_run(key, how);
        }
        answer_holds();
    }
    loop_.after(tick_period, [this] { tick(); });
}

} // namespace review
