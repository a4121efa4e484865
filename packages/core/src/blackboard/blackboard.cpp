#include "papayafall/core/blackboard/blackboard.hpp"

#include "papayafall/core/errors/exception.hpp"

namespace papayafall {

namespace {

void check_target_index(const blackboard& board)
{
    ensure(board.targets_by_load.size() == board.indexed_targets.size(),
           "both orders of the target index must hold the same targets");
    slot_totals sums;
    for (const auto& it : board.indexed_targets) {
        const target_name* ranked = board.targets_by_load.find(it.value.rank);
        ensure(ranked != nullptr && *ranked == it.key,
               "a target and its rank must refer to each other");
        sums.usable += it.value.usable;
        sums.short_running += it.value.used.short_running;
        sums.long_running += it.value.used.long_running;
    }
    const slot_totals& totals = board.target_slot_totals.get();
    ensure(sums.usable == totals.usable && sums.short_running == totals.short_running &&
               sums.long_running == totals.long_running,
           "the slot totals must equal the sums over the target index");
}

void check_backlog(const blackboard& board)
{
    std::size_t tasks = 0;
    for (std::uint8_t lane = 0; lane < lane_count; ++lane) {
        tasks += board.queue_backlog->tasks(lane);
    }
    ensure(tasks == board.queue.size(), "the backlog must count each queued task once");
}

} // namespace

void blackboard::check_invariants() const
{
    check_target_index(*this);
    check_backlog(*this);
    hosts.check_invariants();
    seats.check_invariants();
    targets.check_invariants();
    submissions.check_invariants();
    queue.check_invariants();
    exchanges.check_invariants();

    ensure(queue.size() == ranks_by_owner.size(),
           "each queued task must be in the queue exactly once");
    ensure(exchanges.size() == exchanges_by_owner.size(),
           "each task must have at most one exchange in progress");
    for (const auto& it : exchanges_by_owner) {
        ensure(!ranks_by_owner.contains(it.key), "a running task must not be queued");
        const exchange_state* exchange = exchanges.find(it.value);
        ensure(exchange != nullptr && (*exchange)->owner == it.key,
               "a running task and its exchange must refer to each other");
    }
    for (const auto& it : submissions_by_key) {
        const submission_state* submission = submissions.find(it.value);
        ensure(submission != nullptr && (*submission)->key == it.key,
               "a key and its submission must refer to each other");
    }
    for (const auto& it : submissions) {
        ensure(it.value->unfinished_tasks <= it.value->tasks,
               "a submission must not have more unfinished tasks than tasks");
        ensure(!it.value->closed || it.value->waiters.empty(),
               "a closed submission must have no waiters");
    }
}

} // namespace papayafall
