#include "papayafall/core/controllers/estimate_controller.hpp"

#include <algorithm>
#include <variant>

namespace papayafall {

estimate_controller::estimate_controller(blackboard& board)
    : run_times_(board.run_times.claim()), short_work_demand_(board.short_work_demand.claim())
{
}

void estimate_controller::on_event(blackboard& board, const event& incoming,
                                   const clock_reading& now)
{
    const auto* finished = std::get_if<exchange_finished>(&incoming);
    if (finished == nullptr || !std::holds_alternative<task_answer>(finished->outcome)) {
        return;
    }
    const exchange_state* exchange = board.exchanges.find(finished->exchange);
    if (exchange == nullptr || !std::holds_alternative<target_name>((*exchange)->destination)) {
        return;
    }
    const service_name& service = (*exchange)->work->service;
    const run_time_estimate* previous = board.run_times.find(service);
    const duration run_time = now.steady - (*exchange)->started_at;
    run_times_.put(
        service,
        (previous == nullptr ? run_time_estimate() : *previous).with_observation(run_time));
}

void estimate_controller::on_tick(blackboard& board, const clock_reading& now)
{
    if (now.steady < board.short_work_demand->next_sample_at()) {
        return;
    }
    const slot_totals& totals = board.target_slot_totals.get();
    const std::uint32_t slots_needed = totals.short_running + board.queue_backlog->tasks(0);
    short_work_demand_.put(
        board.short_work_demand->with_sample(std::min(slots_needed, totals.usable), now.steady));
}

} // namespace papayafall
