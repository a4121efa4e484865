#pragma once

#include "bench/candidate.hpp"
#include "bench/fake_target.hpp"
#include "bench/workload.hpp"

#include <map>
#include <optional>
#include <queue>
#include <tuple>

namespace papayafall::bench {

/// Number and properties of the targets of one run.
struct target_plan {
    std::uint32_t count = 8;
    std::uint32_t slots_per_target = 8;
    std::uint32_t failing_targets = 0;    ///< targets that fail every task shortly after its start
    std::uint32_t straggling_targets = 0; ///< targets that run five times slower

    std::uint32_t slots() const { return count * slots_per_target; }
};

/// Outcome of one request.
struct request_outcome {
    bool useful = false;  ///< completed in time
    bool refused = false; ///< refused on arrival
    time_point answered_at = no_deadline;
};

struct run_result {
    std::vector<arrival> arrivals;
    std::vector<request_outcome> outcomes; ///< one per arrival
    std::uint64_t starts = 0;              ///< tasks sent to targets, retries included
};

/// Discrete-event simulation of one engine, with its real controllers, against simulated targets.
class simulation {
  public:
    simulation(const policy_candidate& chosen, const target_plan& plan,
               std::vector<arrival> arrivals)
        : targets_queue_(chosen.targets_queue), plan_(plan),
          engine_(make_engine(self_state(self_state_fields{.host = host_name("entry-1"),
                                                           .zone = zone_name("zone-a")}),
                              core_parameters(), chosen.policies))
    {
        result_.arrivals = std::move(arrivals);
        result_.outcomes.resize(result_.arrivals.size());
    }

    run_result run()
    {
        set_up();
        for (std::size_t n = 0; n < result_.arrivals.size(); ++n) {
            pending_events_.push({result_.arrivals[n].at, next_sequence_++, arrive{n}});
        }
        const time_point end = result_.arrivals.back().at + drain_time;
        for (time_point at = first_arrival; at < end; at += tick_period) {
            pending_events_.push({at, next_sequence_++, tick{}});
        }
        while (!pending_events_.empty()) {
            const scheduled_event next_event = pending_events_.top();
            pending_events_.pop();
            now_ = next_event.at;
            std::visit([this](const auto& it) { apply(it); }, next_event.kind);
            process_actions();
        }
        return std::move(result_);
    }

  private:
    static constexpr duration tick_period = std::chrono::milliseconds(20);
    /// Time after the last arrival in which tasks may still end.
    static constexpr duration drain_time = std::chrono::seconds(200);
    static constexpr time_point first_arrival{};

    struct arrive {
        std::size_t index;
    };

    struct tick {};

    struct finish {
        target_name target;
        exchange_id exchange;
    };

    struct time_out {
        exchange_id exchange;
    };

    struct scheduled_event {
        time_point at;
        std::uint64_t sequence;
        std::variant<arrive, tick, finish, time_out> kind;

        bool operator<(const scheduled_event& other) const
        {
            return std::tie(at, sequence) > std::tie(other.at, other.sequence);
        }
    };

    clock_reading reading() const { return {now_, wall_time{}}; }

    void deliver(const event& it) { engine_->handle(it, reading()); }

    void set_up()
    {
        host_list_fields list;
        for (std::uint32_t n = 0; n < plan_.count; ++n) {
            const target_name name("target-" + std::to_string(n));
            const bool fails = n < plan_.failing_targets;
            const bool is_straggler =
                !fails && n < plan_.failing_targets + plan_.straggling_targets;
            targets_.try_emplace(name, plan_.slots_per_target, is_straggler ? 5.0 : 1.0, fails,
                                 targets_queue_);
            list.targets.push_back({.name = name,
                                    .zone = zone_name("zone-a"),
                                    .address = {},
                                    .slots = plan_.slots_per_target});
        }
        deliver(host_list_received{host_list_snapshot(list)});
        deliver(configuration_received{make_configuration()});
        process_actions();
    }

    void apply(const arrive& it)
    {
        const arrival& requested = result_.arrivals[it.index];
        deliver(
            request_received{call_id(it.index + 1),
                             request(request_fields{
                                 .service = requested.service->name,
                                 .team = requested.team,
                                 .tasks = {task{.body = bytes(std::to_string(it.index)),
                                                .declared_run_time = requested.declared_run_time}},
                                 .deadline = now_ + requested.service->time_limit})});
    }

    void apply(const tick& /*it*/) { engine_->tick(reading()); }

    void apply(const finish& it)
    {
        fake_target& target = targets_.at(it.target);
        if (const auto next = target.finish()) {
            pending_events_.push(
                {now_ + next->run_time, next_sequence_++, finish{it.target, next->exchange}});
        }
        if (target.fails()) {
            deliver(exchange_finished{it.exchange, connection_lost{}});
        } else {
            deliver(exchange_finished{it.exchange, task_answer{.status = 200}});
        }
    }

    void apply(const time_out& it)
    {
        if (engine_->board().exchanges.contains(it.exchange)) {
            deliver(exchange_finished{it.exchange, no_answer{}});
        }
    }

    void process_actions()
    {
        for (std::vector<action> actions = engine_->take_actions(); !actions.empty();
             actions = engine_->take_actions()) {
            for (const action& it : actions) {
                if (const auto* start = std::get_if<start_exchange>(&it)) {
                    send(*start);
                } else if (const auto* answered = std::get_if<answer_call>(&it)) {
                    record_answer(*answered);
                }
            }
        }
    }

    void send(const start_exchange& start)
    {
        ++result_.starts;
        fake_target& target = targets_.at(start.target);
        if (target.refuses()) {
            deliver(exchange_finished{start.exchange, target_refused{}});
            return;
        }
        const std::size_t index = std::stoul(std::string(start.work->body.view()));
        constexpr duration failure_delay = std::chrono::milliseconds(5);
        const duration run_time = target.fails() ? failure_delay : result_.arrivals[index].run_time;
        if (const auto started = target.accept({start.exchange, run_time})) {
            pending_events_.push({now_ + started->run_time, next_sequence_++,
                                  finish{start.target, started->exchange}});
        }
        pending_events_.push({start.deadline, next_sequence_++, time_out{start.exchange}});
    }

    void record_answer(const answer_call& answered)
    {
        const std::size_t index = answered.call.value() - 1;
        request_outcome& outcome = result_.outcomes.at(index);
        const arrival& requested = result_.arrivals[index];
        outcome.answered_at = now_;
        const bool in_time = now_ <= requested.at + requested.service->time_limit;
        outcome.useful = in_time && std::holds_alternative<completion>(answered.result);
        outcome.refused = !outcome.useful && now_ == requested.at;
    }

    bool targets_queue_;
    target_plan plan_;
    std::unique_ptr<engine> engine_;
    std::map<target_name, fake_target> targets_;
    std::priority_queue<scheduled_event> pending_events_;
    std::uint64_t next_sequence_ = 0;
    time_point now_{};
    run_result result_;
};

} // namespace papayafall::bench
