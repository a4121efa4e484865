#include "papayafall/core/state/backlog.hpp"

#include "papayafall/core/errors/exception.hpp"

#include <algorithm>

namespace papayafall {

backlog backlog::with_added(const queue_rank& rank, const queued_work& work) const
{
    backlog after = *this;
    class_backlog& changed = after.classes_.at(class_of(rank));
    ++changed.tasks;
    changed.work += work->expected_run_time;
    return after;
}

backlog backlog::with_removed(const queue_rank& rank, const queued_work& work) const
{
    backlog after = *this;
    class_backlog& changed = after.classes_.at(class_of(rank));
    ensure(changed.tasks > 0, "a task may only leave a queue class that holds tasks");
    --changed.tasks;
    changed.work -= work->expected_run_time;
    return after;
}

duration backlog::work_before(std::uint8_t lane, std::uint8_t urgency) const
{
    duration sum{};
    for (std::uint8_t it = 0; it < urgency; ++it) {
        sum += classes_.at(class_of(queue_rank{.lane = lane, .urgency = it})).work;
    }
    return sum;
}

std::uint32_t backlog::tasks(std::uint8_t lane) const
{
    std::uint32_t sum = 0;
    for (std::uint8_t it = 0; it < urgency_count; ++it) {
        sum += classes_.at(class_of(queue_rank{.lane = lane, .urgency = it})).tasks;
    }
    return sum;
}

std::size_t backlog::class_of(const queue_rank& rank)
{
    const std::size_t lane = std::min<std::size_t>(rank.lane, lane_count - 1);
    const std::size_t urgency = std::min<std::size_t>(rank.urgency, urgency_count - 1);
    return lane * urgency_count + urgency;
}

backlog_rank backlog_rank_of(const queue_rank& rank, const queued_work& work)
{
    const time_point start_by = work->start_by;
    const duration past_step = start_by.time_since_epoch() % backlog_rank::start_step;
    return backlog_rank{
        .lane = rank.lane, .urgency = rank.urgency, .start_by = start_by - past_step};
}

} // namespace papayafall
