#pragma once

#include "papayafall/core/blackboard/blackboard.hpp"
#include "papayafall/core/controllers/controller.hpp"
#include "papayafall/core/controllers/target_index_writer.hpp"
#include "papayafall/core/policies/overflow_policy.hpp"
#include "papayafall/core/policies/queue_order.hpp"
#include "papayafall/core/policies/retry_policy.hpp"
#include "papayafall/core/policies/run_time_estimator.hpp"
#include "papayafall/core/policies/slot_policy.hpp"
#include "papayafall/core/policies/target_selector.hpp"

#include <memory>

namespace papayafall {

/// Policies that the scheduling controller consults.
struct scheduling_policies {
    std::shared_ptr<const queue_order> order;
    std::shared_ptr<const slot_policy> slots;
    std::shared_ptr<const target_selector> targets;
    std::shared_ptr<const run_time_estimator> run_times;
    std::shared_ptr<const overflow_policy> overflow;
    std::shared_ptr<const retry_policy> retries;
};

/// Queues accepted tasks, starts them when slots are free, and reports their results.
///
/// Reads the targets that this host dispatches to; writes the queue, the exchanges in progress and
/// the slots in use. An exchange is one attempt to run a task, at a target or through a peer. A
/// task has at most one exchange at a time. It is started again only if the last attempt certainly
/// did not run or if the retry policy allows it.
class scheduling_controller : public controller {
  public:
    scheduling_controller(blackboard& board, scheduling_policies policies);

    std::string_view name() const noexcept override { return "scheduling"; }

    void on_event(blackboard& board, const event& incoming, const clock_reading& now) override;
    void on_tick(blackboard& board, const clock_reading& now) override;

  private:
    /// Queues the tasks of an accepted submission.
    void queue_submission(blackboard& board, const submission_accepted& accepted,
                          const clock_reading& now);
    /// Starts a task that a peer delegated. It is never queued: if no slot is free, it is rejected
    /// as overloaded.
    void start_delegated(blackboard& board, const delegation_received& delegated,
                         const clock_reading& now);
    /// Removes the queued tasks of a closed submission and marks its exchanges as abandoned.
    void drop_submission(blackboard& board, submission_id submission);
    /// Ends an exchange, frees its slot, and retries the task or reports its result.
    void finish_exchange(blackboard& board, const exchange_finished& finished,
                         const clock_reading& now);
    /// Queues the task of an ended exchange again.
    /// @param uncertain whether an attempt so far may have run the task
    void requeue(blackboard& board, const exchange_state& ended, bool uncertain,
                 const clock_reading& now);
    /// Raises `work_finished` and, for delegated work, answers the peer.
    void report_result(blackboard& board, const work_owner& owner, const task_result& result);

    void enqueue(blackboard& board, const queued_work& work, const clock_reading& now);
    void remove_from_queue(blackboard& board, const queue_rank& rank);
    /// Updates the sums over the queue after `work` was added to or removed from it.
    void update_backlog(blackboard& board, const queue_rank& rank, const queued_work& work,
                        bool added);
    /// Handles queued tasks that can no longer meet their deadline, exchanges without an answer and
    /// outdated delegation counts.
    void handle_expired(blackboard& board, const clock_reading& now);
    /// Counts exchanges as long-running once their run time exceeds the threshold of the slot
    /// policy.
    void mark_long_running(blackboard& board, time_point now);
    /// Starts queued tasks of each lane until its first task may not start.
    void start_queued(blackboard& board, const clock_reading& now);
    /// Starts the first task of `lane` at a target or through a peer.
    /// @return whether a task was started
    bool start_first_in_lane(blackboard& board, std::uint8_t lane, const clock_reading& now);
    void start_at_target(blackboard& board, const queued_work& work, const target_name& target,
                         const clock_reading& now);
    void start_at_peer(blackboard& board, const queued_work& work, const peer_id& peer,
                       const clock_reading& now);
    /// Records a new exchange for `work` and returns its identifier.
    exchange_id record_exchange(blackboard& board, const queued_work& work,
                                const exchange_destination& destination, const clock_reading& now);
    /// Changes the slots in use at the target of `exchange` by `delta`; does nothing if the
    /// exchange runs through a peer.
    void adjust_slot_usage(blackboard& board, const exchange_state& exchange, int delta);

    scheduling_policies policies_;
    cell_writer<scheduling_numbers> counters_;
    table_writer<queue_rank, queued_work> queue_;
    table_writer<work_owner, queue_rank> ranks_by_owner_;
    table_writer<exchange_id, exchange_state> exchanges_;
    table_writer<work_owner, exchange_id> exchanges_by_owner_;
    table_writer<target_name, slot_usage> slot_usages_;
    cell_writer<backlog> backlog_;
    table_writer<backlog_rank, class_backlog> backlog_by_start_;
    cell_writer<retry_budget> retry_budget_;
    table_writer<peer_id, delegation_state> delegations_;
    table_writer<exchange_id, time_point> overrun_checks_;
    target_index_writer target_index_;
};

} // namespace papayafall
