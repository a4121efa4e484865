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

/// The decisions that the scheduling controller leaves to policies.
struct scheduling_policies {
    std::shared_ptr<const queue_order> order;
    std::shared_ptr<const slot_policy> slots;
    std::shared_ptr<const target_selector> targets;
    std::shared_ptr<const run_time_estimator> run_times;
    std::shared_ptr<const overflow_policy> overflow;
    std::shared_ptr<const retry_policy> retries;
};

/// Queues accepted tasks, starts them while slots are free, and reports their results.
///
/// Reads the targets that this host dispatches to; writes the queue, the exchanges in progress
/// and the slots in use. A task has at most one exchange at a time. It is started again only
/// where the last attempt certainly did not run, or where the retry policy allows it.
class scheduling_controller : public controller {
  public:
    scheduling_controller(blackboard& board, scheduling_policies policies);

    std::string_view name() const noexcept override { return "scheduling"; }

    void on_event(blackboard& board, const event& incoming, const clock_reading& now) override;
    void on_tick(blackboard& board, const clock_reading& now) override;

  private:
    void accept(blackboard& board, const submission_accepted& accepted, const clock_reading& now);
    void accept_delegated(blackboard& board, const delegation_received& delegated,
                          const clock_reading& now);
    void drop(blackboard& board, submission_id submission);
    void finish(blackboard& board, const exchange_finished& finished, const clock_reading& now);
    void requeue(blackboard& board, const exchange_state& ended, bool uncertain,
                 const clock_reading& now);
    void report(blackboard& board, const work_owner& owner, const task_result& result);

    void push(blackboard& board, const queued_work& work, const clock_reading& now);
    void remove(blackboard& board, const queue_rank& rank);
    void count_waiting(blackboard& board, const queue_rank& rank, const queued_work& work,
                       bool added);
    void expire(blackboard& board, const clock_reading& now);
    void mark_overrun(blackboard& board, time_point now);
    void start_waiting(blackboard& board, const clock_reading& now);
    bool start_first(blackboard& board, std::uint8_t lane, const clock_reading& now);
    void start_at_target(blackboard& board, const queued_work& work, const target_name& target,
                         const clock_reading& now);
    void start_at_peer(blackboard& board, const queued_work& work, const peer_id& peer,
                       const clock_reading& now);
    exchange_id record(blackboard& board, const queued_work& work, const exchange_destination& place,
                       const clock_reading& now);
    void occupy(blackboard& board, const exchange_state& exchange, int change);

    scheduling_policies policies_;
    cell_writer<scheduling_numbers> numbers_;
    table_writer<queue_rank, queued_work> queue_;
    table_writer<work_owner, queue_rank> queued_;
    table_writer<exchange_id, exchange_state> exchanges_;
    table_writer<work_owner, exchange_id> running_;
    table_writer<target_name, slot_usage> slots_;
    cell_writer<backlog> waiting_;
    table_writer<backlog_rank, class_backlog> waiting_by_start_;
    cell_writer<retry_budget> retries_;
    table_writer<peer_id, delegation_state> delegations_;
    table_writer<exchange_id, time_point> overrun_checks_;
    target_index_writer index_;
};

} // namespace papayafall
