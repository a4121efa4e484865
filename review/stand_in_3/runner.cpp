#include "runner.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace review {

namespace {

using nlohmann::json;

constexpr std::int64_t heartbeat_interval_ms = 1500;
constexpr std::int64_t tick_period_ms = 5;
constexpr std::int64_t hold_max_ms = 1000;

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

runner::runner(event_loop& loop, store& entries, record& log, std::string id, std::string zone,
               room size, start_observer on_start)
    : loop_(loop), store_(entries), record_(log), id_(std::move(id)), zone_(std::move(zone)),
      room_(size), on_start_(std::move(on_start)), begun_at_(now_ms()), born_ms_(unix_ms()),
      server_(std::make_unique<http_server>(
          loop, [this](const http_message& request, const http_server::responder& answer) {
              on_request(request, answer);
          }))
{
    loop_.every(heartbeat_interval_ms, [this] { beat(); });
    loop_.every(tick_period_ms, [this] { tick(); });
}

void runner::set_room(room next)
{
    room_ = next;
    record_.write("runner " + id_ + " says room cpu=" + std::to_string(next.cpu));
    beat();
}

std::int64_t
runner::used_cpu(const std::function<std::int64_t(const std::string& task)>& cpu_of) const
{
    std::int64_t sum = 0;
    for (const auto& [task, it] : running_) {
        sum += cpu_of(task);
    }
    return sum;
}

void runner::beat()
{
    store_.put("servers/" + id_,
               {{"service", "desk"},
                {"address", server_->address()},
                {"zone", zone_},
                {"version", "v1"},
                {"slots", 8},
                {"state", "ready"},
                {"cold_remaining_ms", 0},
                {"room", {{"cpu", room_.cpu}, {"mem_mb", room_.mem_mb}, {"gpu", 0}}},
                {"labels", {"a", "r1-1"}},
                {"born", born_ms_},
                {"clock_ms", clock_ms()},
                {"sequence", ++sequence_}});
}

void runner::reply(const http_server::responder& answer, int status, json body) const
{
    body["clock_ms"] = clock_ms();
    answer(status, body.dump());
}

void runner::on_request(const http_message& request, const http_server::responder& answer)
{
    if (request.word(1) == "/health") {
        answer(200, "{}");
        return;
    }
    if (request.header("papayafall-expect-instance") != id_) {
        answer(421, "{}");
        return;
    }
    const json body = json::parse(request.body);
    const auto token = body.value("fencing_token", std::uint64_t{0});
    if (token < highest_token_) {
        reply(answer, 409, {{"reason", "fence"}});
        return;
    }
    highest_token_ = token;
    if (request.word(1) == "/run-start") {
        start(body, answer);
    } else if (request.word(1) == "/run-stop") {
        stop(body, answer);
    } else if (request.word(1) == "/hold") {
        extend(body);
        holds_.push_back({.last_seen = body.value("last_seen", std::uint64_t{0}),
                          .deadline = now_ms() + body.value("wait_ms", std::int64_t{0}),
                          .answer = answer});
        answer_holds();
    } else {
        answer(400, "{}");
    }
}

void runner::extend(const json& body)
{
    const auto until = body.value("until_ms", std::int64_t{0});
    lease_until_ = std::max(lease_until_, std::min(until, clock_ms() + hold_max_ms));
}

void runner::start(const json& body, const http_server::responder& answer)
{
    const std::string task = body.at("task");
    const auto number = body.at("run").get<std::uint64_t>();
    if (const auto it = closed_.find(task); it != closed_.end() && number <= it->second) {
        extend(body);
        reply(answer, 409, {{"reason", "old"}});
        return;
    }
    if (body.at("until_ms").get<std::int64_t>() <= clock_ms()) {
        reply(answer, 409, {{"reason", "late"}});
        return;
    }
    extend(body);
    if (const auto it = running_.find(task); it != running_.end()) {
        const bool same = it->second.number == number;
        reply(answer, same ? 200 : 409, same ? json::object() : json{{"reason", "old"}});
        return;
    }
    // The text that a job passes to its tasks is their length here.
    const run begun{.task = task,
                    .number = number,
                    .begun_at = now_ms(),
                    .length_ms = std::stoll(body.value("spec", "0"))};
    running_[task] = begun;
    record_.write("runner " + id_ + " begins " + task + " run " + std::to_string(number));
    on_start_(*this, begun);
    reply(answer, 200, json::object());
}

void runner::stop(const json& body, const http_server::responder& answer)
{
    const std::string task = body.at("task");
    const auto number = body.at("run").get<std::uint64_t>();
    if (const auto it = running_.find(task); it != running_.end() && it->second.number <= number) {
        end(task, "stopped");
    }
    closed_[task] = std::max(closed_[task], number);
    reply(answer, 200, json::object());
    answer_holds();
}

void runner::end(const std::string& task, const std::string& how)
{
    const run ended = running_.at(task);
    running_.erase(task);
    closed_[task] = std::max(closed_[task], ended.number);
    ended_.push_back({++last_end_, task, ended.number, how, ""});
    record_.write("runner " + id_ + " ends " + task + " run " + std::to_string(ended.number) + " " +
                  how);
}

void runner::tick()
{
    std::vector<std::pair<std::string, std::string>> due;
    for (const auto& [task, it] : running_) {
        if (lease_until_ <= clock_ms()) {
            due.emplace_back(task, "lapsed");
        } else if (now_ms() >= it.begun_at + it.length_ms) {
            due.emplace_back(task, "done");
        }
    }
    for (const auto& [task, how] : due) {
        end(task, how);
    }
    answer_holds();
}

void runner::answer_holds()
{
    for (auto it = holds_.begin(); it != holds_.end();) {
        if (last_end_ <= it->last_seen && now_ms() < it->deadline) {
            ++it;
            continue;
        }
        json running = json::array();
        for (const auto& [task, begun] : running_) {
            const std::int64_t percent =
                (now_ms() - begun.begun_at) * 100 / std::max<std::int64_t>(begun.length_ms, 1);
            running.push_back({task, begun.number, "", std::min<std::int64_t>(percent, 100), 0});
        }
        json ended = json::array();
        for (const json& row : ended_) {
            if (row[0].get<std::uint64_t>() > it->last_seen) {
                ended.push_back(row);
            }
        }
        const http_server::responder answer = it->answer;
        it = holds_.erase(it);
        reply(answer, 200, {{"born", born_ms_}, {"running", running}, {"ended", ended}});
    }
}

} // namespace review
