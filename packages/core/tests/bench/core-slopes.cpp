// Measures how the cost of the core grows, in virtual time; see docs/CAPACITY.md:
//
//     core-slopes
//
// Prints one line for each measurement. Processor time is that of the process, memory what the
// allocator has in use.

#include "papayafall/core/engine/standard_engine.hpp"

#include <malloc.h>

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <string>
#include <vector>

using namespace papayafall;

namespace {

constexpr std::uint32_t slots_each = 64;

double processor_micros()
{
    timespec now{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    constexpr double micros_per_second = 1e6;
    constexpr double nanos_per_micro = 1e3;
    return static_cast<double>(now.tv_sec) * micros_per_second +
           static_cast<double>(now.tv_nsec) / nanos_per_micro;
}

double bytes_in_use()
{
    const struct mallinfo2 info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

core_parameters roomy_parameters()
{
    return core_parameters(core_parameters_fields{.record_limit = 1'000'000});
}

/// One engine whose targets answer at once.
class subject {
  public:
    explicit subject(std::uint32_t targets)
        : engine_(make_engine(self_state(self_state_fields{.host = host_name("entry-0"),
                                                           .zone = zone_name("zone-a")}),
                              roomy_parameters(), standard_policies()))
    {
        host_list_fields list;
        for (std::uint32_t n = 0; n < targets; ++n) {
            list.targets.push_back({.name = target_name("target-" + std::to_string(n)),
                                    .zone = zone_name("zone-a"),
                                    .address = {"10.0.0.1", 9000},
                                    .slots = slots_each});
        }
        deliver(host_list_received{host_list_snapshot(list)});
        configuration_fields fields{.revision = revision_id(1)};
        fields.services[service_name("quote")] = {
            .time_limit = std::chrono::minutes(5), .idempotent = true, .queue_limit = 10'000'000};
        fields.teams[team_name("desk")] = {.slot_quota = 1'000'000};
        fields.zones[zone_name("zone-a")] = {.seats = 1};
        deliver(configuration_received{fields});
        deliver(session_confirmed{now_ + std::chrono::hours(24)});
        deliver(seat_granted{.seat = {.zone = zone_name("zone-a"), .number = 0}});
        settle();
    }

    void deliver(const event& it) { engine_->handle(it, {now_, wall_time{}}); }

    void tick() { engine_->tick({now_, wall_time{}}); }

    void pass(duration length) { now_ += length; }

    /// Lets the stages of new targets pass.
    void settle()
    {
        constexpr int steps = 600;
        for (int n = 0; n < steps; ++n) {
            pass(std::chrono::milliseconds(100));
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

    /// Answers every exchange that starts until no more do; returns how many did.
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

    void hear(std::uint32_t host)
    {
        heartbeat_fields fields{.host = host_name("entry-" + std::to_string(host)),
                                .zone = zone_name("zone-a"),
                                .incarnation = incarnation_id(1),
                                .sequence = ++sequence_,
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
    std::uint64_t sequence_ = 0;
};

void measure_starts(std::uint32_t targets, std::size_t tasks, std::size_t jobs)
{
    subject it(targets);
    const double before = processor_micros();
    std::size_t starts = 0;
    for (std::size_t n = 0; n < jobs; ++n) {
        it.submit(tasks);
        starts += it.answer_all();
        it.pass(std::chrono::microseconds(100));
    }
    const double spent = processor_micros() - before;
    std::printf("start: targets=%u tasks_per_job=%zu starts=%zu us_per_start=%.2f\n", targets,
                tasks, starts, spent / static_cast<double>(std::max<std::size_t>(starts, 1)));
}

void measure_records(std::size_t count)
{
    subject it(50);
    const double before = bytes_in_use();
    for (std::size_t n = 0; n < count; ++n) {
        it.submit(1);
        it.answer_all();
    }
    const std::size_t records = it.board().submissions.size();
    std::printf("closed record: submitted=%zu records=%zu bytes_each=%.0f\n", count, records,
                (bytes_in_use() - before) / static_cast<double>(std::max<std::size_t>(records, 1)));
}

void measure_open(std::size_t count)
{
    subject it(50);
    const double before = bytes_in_use();
    for (std::size_t n = 0; n < count; ++n) {
        it.submit(1);
        it.drop_actions();
    }
    const std::size_t records = it.board().submissions.size();
    std::printf("open submission: submitted=%zu records=%zu queued=%zu bytes_each=%.0f\n", count,
                records, it.board().queue.size(),
                (bytes_in_use() - before) / static_cast<double>(std::max<std::size_t>(records, 1)));
}

/// Ticks of 10 ms over ten seconds, with a heartbeat of each peer every half second.
void measure_ticks(std::uint32_t hosts, std::uint32_t targets, std::size_t records)
{
    subject it(targets);
    for (std::size_t n = 0; n < records; ++n) {
        it.submit(1);
        it.answer_all();
    }
    constexpr int ticks = 1000;
    constexpr int ticks_per_beat = 50;
    double spent_ticks = 0;
    double spent_beats = 0;
    for (int n = 0; n < ticks; ++n) {
        const double begin = processor_micros();
        if (n % ticks_per_beat == 0) {
            for (std::uint32_t host = 1; host < hosts; ++host) {
                it.hear(host);
            }
        }
        const double heard = processor_micros();
        it.tick();
        it.drop_actions();
        spent_beats += heard - begin;
        spent_ticks += processor_micros() - heard;
        it.pass(std::chrono::milliseconds(10));
    }
    const double beats = static_cast<double>(ticks) / ticks_per_beat * (hosts - 1);
    std::printf("tick: hosts=%u targets=%u records=%zu us_per_tick=%.2f us_per_heartbeat=%.2f\n",
                hosts, targets, records, spent_ticks / ticks, spent_beats / std::max(beats, 1.0));
}

void measure_division(std::uint32_t targets)
{
    subject it(targets);
    it.pass(std::chrono::milliseconds(200));
    it.tick();
    it.pass(std::chrono::milliseconds(50));
    it.hear(1);
    it.pass(std::chrono::milliseconds(200));
    const double before = processor_micros();
    it.tick();
    std::printf("division: targets=%u us=%.0f\n", targets, processor_micros() - before);
}

void measure_everything()
{
    for (const std::uint32_t targets : {50U, 400U, 1700U}) {
        measure_starts(targets, 1, 10'000);
    }
    for (const std::size_t tasks : {20U, 200U}) {
        measure_starts(400, tasks, 20'000 / tasks);
    }
    for (const std::size_t count : {1'000U, 10'000U, 100'000U}) {
        measure_records(count);
        measure_open(count);
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
    measure_everything();
    return 0;
}
