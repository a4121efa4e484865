// Measures how the processor time and memory of the core grow with the number of targets, hosts,
// tasks and records, in virtual time; see docs/CAPACITY.md.
//
//     core-slopes
//
// Prints one line per measurement. Processor time is that of the whole process; memory is what the
// allocator reports as in use.

#include "papayafall/core/engine/standard_engine.hpp"

#include <malloc.h>

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <string>
#include <vector>

using namespace papayafall;

namespace {

constexpr std::uint32_t slots_per_target = 64;

double processor_time_us()
{
    timespec now{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    constexpr double us_per_second = 1e6;
    constexpr double ns_per_us = 1e3;
    return static_cast<double>(now.tv_sec) * us_per_second +
           static_cast<double>(now.tv_nsec) / ns_per_us;
}

double bytes_in_use()
{
    const struct mallinfo2 info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

core_parameters parameters_for_many_records()
{
    return core_parameters(core_parameters_fields{.record_limit = 1'000'000});
}

/// One engine in virtual time, whose targets answer without delay.
class engine_driver {
  public:
    explicit engine_driver(std::uint32_t targets)
        : engine_(make_engine(self_state(self_state_fields{.host = host_name("entry-0"),
                                                           .zone = zone_name("zone-a")}),
                              parameters_for_many_records(), standard_policies()))
    {
        host_list_fields list;
        for (std::uint32_t n = 0; n < targets; ++n) {
            list.targets.push_back({.name = target_name("target-" + std::to_string(n)),
                                    .zone = zone_name("zone-a"),
                                    .address = {"10.0.0.1", 9000},
                                    .slots = slots_per_target});
        }
        deliver(host_list_received{host_list_snapshot(list)});
        configuration_fields fields{.revision = revision_id(1)};
        fields.services[service_name("quote")] = {
            .time_limit = std::chrono::minutes(5), .idempotent = true, .queue_limit = 10'000'000};
        fields.teams[team_name("desk")] = {.slot_quota = 1'000'000};
        fields.zones[zone_name("zone-a")] = {.seat_count = 1};
        deliver(configuration_received{fields});
        deliver(session_confirmed{now_ + std::chrono::hours(24)});
        deliver(seat_granted{.seat = {.zone = zone_name("zone-a"), .number = 0}});
        finish_target_ramp_up();
    }

    void deliver(const event& it) { engine_->handle(it, {now_, wall_time{}}); }

    void tick() { engine_->tick({now_, wall_time{}}); }

    void advance(duration elapsed) { now_ += elapsed; }

    /// Advances the time until new targets have left their slow start and all slots are usable.
    void finish_target_ramp_up()
    {
        constexpr int steps = 600;
        for (int n = 0; n < steps; ++n) {
            advance(std::chrono::milliseconds(100));
            tick();
            engine_->take_actions();
        }
    }

    void submit(std::size_t tasks)
    {
        std::vector<task> bodies(tasks, task{.body = bytes(std::string(100, 'x'))});
        ++calls_;
        deliver(request_received{
            call_id(calls_),
            request(request_fields{.service = service_name("quote"),
                                   .team = team_name("desk"),
                                   .key = caller_key{.text = "key-" + std::to_string(calls_)},
                                   .fingerprint = calls_,
                                   .tasks = std::move(bodies),
                                   .deadline = now_ + std::chrono::minutes(5)})});
    }

    /// Answers all exchanges that are started until none is left; returns their number.
    std::size_t answer_all()
    {
        std::size_t starts = 0;
        for (auto actions = engine_->take_actions(); !actions.empty();
             actions = engine_->take_actions()) {
            for (const action& it : actions) {
                const auto* start = std::get_if<start_exchange>(&it);
                if (start == nullptr) {
                    continue;
                }
                ++starts;
                deliver(exchange_finished{start->exchange,
                                          task_answer{.status = 200, .body = bytes("ok")}});
            }
        }
        return starts;
    }

    void receive_heartbeat_from(std::uint32_t host)
    {
        heartbeat_fields fields{.host = host_name("entry-" + std::to_string(host)),
                                .zone = zone_name("zone-a"),
                                .incarnation = incarnation_id(1),
                                .sequence = ++heartbeat_sequence_,
                                .link = {"10.0.1.1", 7001},
                                .datagrams = {"10.0.1.1", static_cast<std::uint16_t>(host + 1)},
                                .revision = revision_id(1)};
        deliver(heartbeat_received{heartbeat(fields)});
    }

    const blackboard& board() const { return engine_->board(); }

    void drop_actions() { engine_->take_actions(); }

  private:
    std::unique_ptr<engine> engine_;
    time_point now_{std::chrono::hours(1)};
    std::uint64_t calls_ = 0;
    std::uint64_t heartbeat_sequence_ = 0;
};

void measure_starts(std::uint32_t targets, std::size_t tasks, std::size_t jobs)
{
    engine_driver driver(targets);
    const double start_us = processor_time_us();
    std::size_t starts = 0;
    for (std::size_t n = 0; n < jobs; ++n) {
        driver.submit(tasks);
        starts += driver.answer_all();
        driver.advance(std::chrono::microseconds(100));
    }
    const double elapsed_us = processor_time_us() - start_us;
    std::printf("start: targets=%u tasks_per_job=%zu starts=%zu us_per_start=%.2f\n", targets,
                tasks, starts, elapsed_us / static_cast<double>(std::max<std::size_t>(starts, 1)));
}

void measure_closed_records(std::size_t count)
{
    engine_driver driver(50);
    const double bytes_before = bytes_in_use();
    for (std::size_t n = 0; n < count; ++n) {
        driver.submit(1);
        driver.answer_all();
    }
    const std::size_t records = driver.board().submissions.size();
    std::printf("closed record: submitted=%zu records=%zu bytes_each=%.0f\n", count, records,
                (bytes_in_use() - bytes_before) /
                    static_cast<double>(std::max<std::size_t>(records, 1)));
}

void measure_open_submissions(std::size_t count)
{
    engine_driver driver(50);
    const double bytes_before = bytes_in_use();
    for (std::size_t n = 0; n < count; ++n) {
        driver.submit(1);
        driver.drop_actions();
    }
    const std::size_t records = driver.board().submissions.size();
    std::printf("open submission: submitted=%zu records=%zu queued=%zu bytes_each=%.0f\n", count,
                records, driver.board().queue.size(),
                (bytes_in_use() - bytes_before) /
                    static_cast<double>(std::max<std::size_t>(records, 1)));
}

/// Measures ticks of 10 ms over 10 s, with a heartbeat of each peer every 500 ms.
void measure_ticks(std::uint32_t hosts, std::uint32_t targets, std::size_t records)
{
    engine_driver driver(targets);
    for (std::size_t n = 0; n < records; ++n) {
        driver.submit(1);
        driver.answer_all();
    }
    constexpr int ticks = 1000;
    constexpr int ticks_per_heartbeat = 50;
    double tick_time_us = 0;
    double heartbeat_time_us = 0;
    for (int n = 0; n < ticks; ++n) {
        const double start_us = processor_time_us();
        if (n % ticks_per_heartbeat == 0) {
            for (std::uint32_t host = 1; host < hosts; ++host) {
                driver.receive_heartbeat_from(host);
            }
        }
        const double after_heartbeats_us = processor_time_us();
        driver.tick();
        driver.drop_actions();
        heartbeat_time_us += after_heartbeats_us - start_us;
        tick_time_us += processor_time_us() - after_heartbeats_us;
        driver.advance(std::chrono::milliseconds(10));
    }
    const double heartbeats = static_cast<double>(ticks) / ticks_per_heartbeat * (hosts - 1);
    std::printf("tick: hosts=%u targets=%u records=%zu us_per_tick=%.2f us_per_heartbeat=%.2f\n",
                hosts, targets, records, tick_time_us / ticks,
                heartbeat_time_us / std::max(heartbeats, 1.0));
}

/// Measures the tick that divides the targets anew after another host has appeared.
void measure_division(std::uint32_t targets)
{
    engine_driver driver(targets);
    driver.advance(std::chrono::milliseconds(200));
    driver.tick();
    driver.advance(std::chrono::milliseconds(50));
    driver.receive_heartbeat_from(1);
    driver.advance(std::chrono::milliseconds(200));
    const double start_us = processor_time_us();
    driver.tick();
    std::printf("division: targets=%u us=%.0f\n", targets, processor_time_us() - start_us);
}

void run_measurements()
{
    for (const std::uint32_t targets : {50U, 400U, 1700U}) {
        measure_starts(targets, 1, 10'000);
    }
    for (const std::size_t tasks : {20U, 200U}) {
        measure_starts(400, tasks, 20'000 / tasks);
    }
    for (const std::size_t count : {1'000U, 10'000U, 100'000U}) {
        measure_closed_records(count);
        measure_open_submissions(count);
    }
    for (const std::uint32_t hosts : {6U, 24U, 96U}) {
        measure_ticks(hosts, 212, 0);
    }
    for (const std::uint32_t targets : {50U, 400U, 1700U}) {
        measure_ticks(6, targets, 0);
        measure_division(targets);
    }
    for (const std::size_t records : {1'000U, 10'000U, 100'000U}) {
        measure_ticks(6, 212, records);
    }
}

} // namespace

int main()
{
    run_measurements();
    return 0;
}
