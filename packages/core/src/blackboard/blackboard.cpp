#include "papayafall/core/blackboard/blackboard.hpp"

#include "papayafall/core/errors/exception.hpp"

namespace papayafall {

void blackboard::check_invariants() const
{
    hosts.check_invariants();
    seats.check_invariants();
    targets.check_invariants();
    submissions.check_invariants();
    queue.check_invariants();
    exchanges.check_invariants();

    ensure(queue.size() == queued.size(), "each queued task is in the queue exactly once");
    ensure(exchanges.size() == running.size(), "each task has at most one exchange in progress");
    for (const auto& it : running) {
        ensure(!queued.contains(it.key), "a running task is not queued");
        const exchange_state* exchange = exchanges.find(it.value);
        ensure(exchange != nullptr && (*exchange)->owner == it.key,
               "a running task and its exchange name each other");
    }
    for (const auto& it : keys) {
        const submission_state* submission = submissions.find(it.value);
        ensure(submission != nullptr && (*submission)->key == it.key,
               "a key and its submission name each other");
    }
    for (const auto& it : submissions) {
        ensure(it.value->unfinished <= it.value->tasks,
               "a submission has no more unfinished tasks than tasks");
        ensure(!it.value->closed || it.value->waiters.empty(),
               "a closed submission keeps nobody waiting");
    }
}

} // namespace papayafall
