#include "papayafall/core/engine/standard_engine.hpp"

#include <algorithm>
#include <cctype>
#include <iostream>
#include <optional>

/// Example of a front end without a network: it passes events to the core, executes the actions of
/// the core in the same process, and prints them. Its only target converts task bodies to upper
/// case.
namespace {

using namespace papayafall;

constexpr std::chrono::milliseconds tick_interval{50};
constexpr std::chrono::seconds call_timeout{60};
/// Wall-clock time at the start of the example; an application passes the time of its own clock.
constexpr wall_time initial_wall_time{std::chrono::milliseconds(1'700'000'000'000)};

self_state make_self_state()
{
    return self_state_fields{.host = host_name("entry-1"),
                             .zone = zone_name("zone-a"),
                             .incarnation = incarnation_id(1)};
}

configuration make_configuration()
{
    configuration_fields fields{.revision = revision_id(1)};
    fields.services[service_name("upper")] = {.idempotent = true};
    fields.teams[team_name("desk")] = {.slot_quota = 4};
    return fields;
}

host_list_snapshot make_hosts()
{
    const target_entry target{
        .name = target_name("target-1"), .zone = zone_name("zone-a"), .address = {}, .slots = 4};
    return host_list_fields{.targets = {target}};
}

request make_request(const std::string& text)
{
    return request_fields{.service = service_name("upper"),
                          .team = team_name("desk"),
                          .tasks = {task{.body = bytes(text)}}};
}

std::string to_upper(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char it) { return static_cast<char>(std::toupper(it)); });
    return text;
}

/// Runs an engine in virtual time.
class front_end {
  public:
    front_end() : engine_(make_engine(make_self_state(), core_parameters(), standard_policies()))
    {
        engine_->handle(configuration_received{make_configuration()}, now());
        engine_->handle(host_list_received{make_hosts()}, now());
    }

    /// Submits a request and runs the engine until it is answered.
    /// @return the answer of the core; empty after `call_timeout`
    std::optional<answer> call(const std::string& text)
    {
        result_.reset();
        engine_->handle(request_received{call_id(++calls_), make_request(text)}, now());
        const time_point end = now_ + call_timeout;
        while (!result_ && now_ < end) {
            execute_actions();
            now_ += tick_interval;
            engine_->tick(now());
        }
        return result_;
    }

    /// Advances the virtual time, with a tick of the engine every `tick_interval`.
    void advance_time(duration length)
    {
        for (const time_point end = now_ + length; now_ < end; now_ += tick_interval) {
            engine_->tick(now());
            execute_actions();
        }
    }

  private:
    clock_reading now() const
    {
        const auto elapsed =
            std::chrono::duration_cast<std::chrono::milliseconds>(now_.time_since_epoch());
        return {now_, initial_wall_time + elapsed};
    }

    void execute_actions()
    {
        for (const action& it : engine_->take_actions()) {
            if (const auto* start = std::get_if<start_exchange>(&it)) {
                run_task(*start);
            } else if (const auto* answered = std::get_if<answer_call>(&it)) {
                result_ = answered->result;
            }
        }
    }

    void run_task(const start_exchange& it)
    {
        std::cout << "start task at " << it.target.text() << '\n';
        const task_answer done{.status = 200,
                               .body = bytes(to_upper(std::string(it.work->body.view())))};
        engine_->handle(exchange_finished{it.exchange, done}, now());
    }

    std::unique_ptr<engine> engine_;
    time_point now_{std::chrono::seconds(1)};
    std::uint64_t calls_ = 0;
    std::optional<answer> result_;
};

bool print(const std::optional<answer>& result)
{
    if (!result) {
        std::cout << "no answer\n";
        return false;
    }
    if (const auto* reason = std::get_if<failure>(&*result)) {
        std::cout << "failure: " << to_string(reason->id) << ", " << reason->detail << '\n';
        return false;
    }
    for (const task_answer& it : std::get<completion>(*result)->answers) {
        std::cout << "answer: " << it.body.view() << '\n';
    }
    return true;
}

} // namespace

/// Submits each argument, or "hello" without arguments. Returns 0 when all requests were answered.
int main(int argc, char** argv)
{
    front_end front;
    front.advance_time(std::chrono::seconds(10)); // a new dispatcher ramps up its load
    if (argc < 2) {
        return print(front.call("hello")) ? 0 : 1;
    }
    bool complete = true;
    for (int n = 1; n < argc; ++n) {
        complete = print(front.call(argv[n])) && complete;
    }
    return complete ? 0 : 1;
}
