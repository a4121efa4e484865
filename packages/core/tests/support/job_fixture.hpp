#pragma once

#include "papayafall/core/jobs/engine/job_engine.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace papayafall::test_support {

/// Engine of one job dispatcher, `entry-1` in `zone-a`, on a simulated clock. The invariants of its
/// board are checked after every event and tick.
class job_fixture {
  public:
    static constexpr std::int64_t host_cpu_millis = 400;

    explicit job_fixture(const jobs::job_parameters& parameters = {})
        : engine_(
              jobs::make_job_engine({.host = host_name("entry-1"),
                                     .zone = zone_name("zone-a"),
                                     .incarnation = incarnation_id(1),
                                     .platform_zones = {zone_name("zone-a"), zone_name("zone-b")},
                                     .cpu_millis = host_cpu_millis},
                                    parameters, jobs::standard_job_policies()))
    {
    }

    const jobs::job_board& board() const { return engine_->board(); }

    time_point now() const { return now_; }

    void deliver(const jobs::job_event& it)
    {
        engine_->handle(it, {now_, wall_time{}});
        collect_actions();
    }

    /// Advances the clock in steps of 10 ms, with a tick after each.
    void advance(duration length)
    {
        constexpr duration step = std::chrono::milliseconds(10);
        for (const time_point end = now_ + length; now_ < end;) {
            now_ += step;
            engine_->tick({now_, wall_time{}});
            collect_actions();
        }
    }

    /// Removes and returns the pending actions of one kind, in order.
    template <typename Action>
    std::vector<Action> take_actions()
    {
        std::vector<Action> found;
        std::vector<jobs::job_action> others;
        for (jobs::job_action& it : actions_) {
            if (auto* action = std::get_if<Action>(&it)) {
                found.push_back(std::move(*action));
            } else {
                others.push_back(std::move(it));
            }
        }
        actions_ = std::move(others);
        return found;
    }

    /// Delivers a configuration, connects the store and makes `entry-1` the holder of `own_cell`.
    void acquire_cell(std::uint64_t token = 7)
    {
        configure(1);
        deliver(jobs::store_reached{});
        deliver(jobs::host_listed{{.host = host_name("entry-1"),
                                   .zone = zone_name("zone-a"),
                                   .incarnation = incarnation_id(1)}});
        deliver(jobs::claim_answered{own_cell(), jobs::claim_result::granted,
                                     jobs::store_revision(token)});
    }

    /// Delivers a configuration with one queue, of the paths below `prefix` at `desk.example`.
    void configure(std::uint64_t version, const std::string& prefix = "/check/",
                   std::uint32_t max_attempts = 2)
    {
        jobs::queue_configuration_fields it{.version = version};
        it.queues.push_back({.name = jobs::queue_name("check"),
                             .hostname = "desk.example",
                             .path_prefix = prefix,
                             .service = service_name("desk"),
                             .max_attempts = max_attempts,
                             .objective_factor = 2,
                             .objective_offset = std::chrono::milliseconds(100)});
        deliver(jobs::configuration_read{std::move(it), {}});
    }

    static jobs::cell_id own_cell() { return jobs::cell_id("zone-a/0"); }

    static jobs::worker_fields make_worker(const std::string& id)
    {
        return {.id = jobs::worker_id(id),
                .service = service_name("desk"),
                .address = {"127.0.0.1", 1},
                .zone = zone_name("zone-a"),
                .started_at_ms = 1000,
                .capacity = {.cpu_millis = 64'000, .memory_mb = 1000}};
    }

    /// Lists a worker and has it answer the first poll with an empty report.
    void add_worker(const std::string& id)
    {
        deliver(jobs::worker_listed{make_worker(id)});
        deliver_report(id, {});
    }

    /// Delivers a report that was requested now and arrives 10 ms later.
    /// @param long_poll whether it answers a call that waits for the end of a run
    void deliver_report(const std::string& id, jobs::worker_report it, bool long_poll = false)
    {
        if (it.started_at_ms == 0) {
            it.started_at_ms = make_worker(id).started_at_ms;
        }
        if (it.clock == jobs::worker_time()) {
            it.clock = worker_clock();
        }
        const time_point sent_at = now_;
        advance(std::chrono::milliseconds(10));
        deliver(jobs::report_received{jobs::worker_id(id), {}, std::move(it), sent_at, long_poll});
    }

    /// What the clocks of all workers show.
    jobs::worker_time worker_clock() const
    {
        using std::chrono::milliseconds;
        return {std::chrono::duration_cast<milliseconds>(now_.time_since_epoch()).count()};
    }

    static jobs::job_spec make_job(const std::string& id, std::uint32_t tasks = 1)
    {
        jobs::job_spec_fields it{.id = jobs::job_id(id), .options = {.best_effort = true}};
        it.steps.push_back({.count = tasks,
                            .need = {.cpu_millis = 27'000, .memory_mb = 10},
                            .estimated_run_time = std::chrono::milliseconds(100)});
        return it;
    }

    /// @param answer_within time for which the caller waits
    void submit_job(std::uint64_t call, const jobs::job_spec& it,
                    duration answer_within = std::chrono::seconds(10))
    {
        deliver(jobs::job_submitted{call_id(call), "desk.example", "/check/" + it->id.text(), it,
                                    now_, now_ + answer_within});
    }

    /// Submits a job and removes and returns the starts that follow at once.
    std::vector<jobs::start_run>
    submit_and_take_starts(std::uint64_t call, std::uint32_t tasks,
                           duration answer_within = std::chrono::seconds(10))
    {
        const std::string id =
            "00000000000000a" + std::to_string(call % 10) + (call < 10 ? "" : "f");
        submit_job(call, make_job(id, tasks), answer_within);
        return take_actions<jobs::start_run>();
    }

    /// Delivers the answer of a worker that has accepted a start.
    void accept_start(const jobs::start_run& it)
    {
        deliver(jobs::start_answered{it.to.id, it.run, jobs::start_result::accepted});
    }

    /// Delivers a report of the worker in which a run has ended.
    void report_run_end(const jobs::start_run& it, jobs::run_outcome outcome)
    {
        jobs::worker_report report;
        report.ended.push_back(
            {.sequence = ++last_end_sequence_, .run = it.run, .outcome = outcome});
        deliver_report(it.to.id.text(), report, true);
    }

  private:
    void collect_actions()
    {
        engine_->board().check_invariants();
        for (jobs::job_action& it : engine_->take_actions()) {
            actions_.push_back(std::move(it));
        }
    }

    std::unique_ptr<jobs::job_engine> engine_;
    std::vector<jobs::job_action> actions_;
    time_point now_{std::chrono::seconds(100)};
    std::uint64_t last_end_sequence_ = 0;
};

} // namespace papayafall::test_support
