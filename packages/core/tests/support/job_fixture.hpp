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

/// One job dispatcher, `entry-1` of `zone-a`, with a queue `/check/` at `desk.example`.
class job_fixture {
  public:
    static constexpr std::int64_t cpu_millis = 400;

    job_fixture()
        : engine_(jobs::make_job_engine({.host = host_name("entry-1"),
                                         .zone = zone_name("zone-a"),
                                         .incarnation = incarnation_id(1),
                                         .zones = {zone_name("zone-a"), zone_name("zone-b")},
                                         .cpu_millis = cpu_millis},
                                        jobs::job_parameters(), jobs::standard_job_policies()))
    {
    }

    const jobs::job_board& board() const { return engine_->board(); }

    time_point now() const { return now_; }

    void deliver(const jobs::job_event& it)
    {
        engine_->handle(it, {now_, wall_time{}});
        keep_actions();
    }

    /// Moves the clock in steps of 10 ms.
    void pass(duration length)
    {
        constexpr duration step = std::chrono::milliseconds(10);
        for (const time_point end = now_ + length; now_ < end;) {
            now_ += step;
            engine_->tick({now_, wall_time{}});
            keep_actions();
        }
    }

    /// Actions of one kind since the last call, in order.
    template <typename Action>
    std::vector<Action> take()
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

    /// Configures the queue, reaches the store and makes `entry-1` the holder of its zone's cell.
    void hold_cell(std::uint64_t token = 7)
    {
        configure(1);
        deliver(jobs::store_reached{});
        deliver(jobs::host_listed{{.host = host_name("entry-1"),
                                   .zone = zone_name("zone-a"),
                                   .incarnation = incarnation_id(1)}});
        deliver(
            jobs::claim_answered{cell(), jobs::claim_result::granted, jobs::store_revision(token)});
    }

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
        deliver(jobs::configuration_read{std::move(it)});
    }

    static jobs::cell_id cell() { return jobs::cell_id("zone-a/0"); }

    static jobs::worker_fields worker(const std::string& id)
    {
        return {.id = jobs::worker_id(id),
                .service = service_name("desk"),
                .address = {"127.0.0.1", 1},
                .zone = zone_name("zone-a"),
                .started_at_ms = 1000,
                .capacity = {.cpu_millis = 64'000, .memory_mb = 1000}};
    }

    /// Lists a worker and lets it answer the first look: nothing runs there.
    void add_worker(const std::string& id)
    {
        deliver(jobs::worker_listed{worker(id)});
        report(id, {});
    }

    void report(const std::string& id, jobs::worker_report it, bool waited = false)
    {
        if (it.started_at_ms == 0) {
            it.started_at_ms = worker(id).started_at_ms;
        }
        const time_point sent_at = now_;
        pass(std::chrono::milliseconds(10));
        deliver(jobs::report_received{jobs::worker_id(id), {}, std::move(it), sent_at, waited});
    }

    static jobs::job_spec job(const std::string& id, std::uint32_t tasks = 1)
    {
        jobs::job_spec_fields it{.id = jobs::job_id(id), .options = {.best_effort = true}};
        it.steps.push_back({.count = tasks,
                            .need = {.cpu_millis = 27'000, .memory_mb = 10},
                            .estimated_run_time = std::chrono::milliseconds(100)});
        return it;
    }

    void submit(std::uint64_t call, const jobs::job_spec& it)
    {
        deliver(jobs::job_submitted{call_id(call), "desk.example", "/check/" + it->id.text(), it,
                                    now_, now_ + std::chrono::seconds(10)});
    }

    void accept(const jobs::start_run& it)
    {
        deliver(jobs::start_answered{it.to.id, it.run, jobs::start_result::accepted});
    }

    /// The worker reports the end of a run.
    void end(const jobs::start_run& it, jobs::run_outcome how)
    {
        jobs::worker_report told;
        told.ended.push_back({.sequence = ++last_end_, .run = it.run, .outcome = how});
        report(it.to.id.text(), told, true);
    }

  private:
    void keep_actions()
    {
        engine_->board().check_invariants();
        for (jobs::job_action& it : engine_->take_actions()) {
            actions_.push_back(std::move(it));
        }
    }

    std::unique_ptr<jobs::job_engine> engine_;
    std::vector<jobs::job_action> actions_;
    time_point now_{std::chrono::seconds(100)};
    std::uint64_t last_end_ = 0;
};

} // namespace papayafall::test_support
