#pragma once

#include "papayafall/core/blackboard/cell.hpp"
#include "papayafall/core/blackboard/message_queue.hpp"
#include "papayafall/core/blackboard/table.hpp"
#include "papayafall/core/messages/action.hpp"
#include "papayafall/core/messages/event.hpp"
#include "papayafall/core/state/applied_change.hpp"
#include "papayafall/core/state/backlog.hpp"
#include "papayafall/core/state/core_parameters.hpp"
#include "papayafall/core/state/counters.hpp"
#include "papayafall/core/state/delegation_state.hpp"
#include "papayafall/core/state/queue_state.hpp"
#include "papayafall/core/state/retry_budget.hpp"
#include "papayafall/core/state/run_time_estimate.hpp"
#include "papayafall/core/state/seat_state.hpp"
#include "papayafall/core/state/self_state.hpp"
#include "papayafall/core/state/slot_demand.hpp"
#include "papayafall/core/state/submission_state.hpp"
#include "papayafall/core/state/target_index.hpp"
#include "papayafall/core/state/target_state.hpp"
#include "papayafall/core/state/usage.hpp"

namespace papayafall {

/// State that the controllers of one process share.
///
/// Each section holds immutable values and is written by the one controller named above it. All
/// controllers may read all sections. Only the control thread accesses the blackboard.
class blackboard {
  public:
    /// @param identity            initial value of `self`
    /// @param initial_parameters  value of `parameters`, which never changes
    blackboard(const self_state& identity, core_parameters initial_parameters)
        : parameters(std::move(initial_parameters)), self(identity)
    {
    }

    const core_parameters parameters;

    // written by lifecycle_controller
    cell<self_state> self;
    cell<bool> stop_posted; ///< whether `stop_process` was posted

    // written by membership_controller
    table<host_name, host_state> hosts; ///< live peers
    cell<host_list_snapshot> host_list;
    cell<heartbeat> own_heartbeat; ///< last heartbeat that was sent
    cell<time_point> heartbeat_due;

    // written by configuration_controller
    cell<configuration> current_configuration;
    cell<applied_change> last_change;  ///< how `current_configuration` was applied
    cell<bool> watching_configuration; ///< as last requested by a `watch_configuration` action
    cell<time_point> configuration_fetch_due;

    // written by status_controller
    cell<time_point> status_due;

    // written by seat_controller
    cell<time_point> session_lease_until; ///< instant at which the platform session may expire
    table<seat_id, seat_state> seats;

    // written by target_controller
    table<target_name, target_state> targets; ///< all targets of this host's zone
    cell<zone_health> target_health;
    cell<target_division> division;

    // written by estimate_controller
    table<service_name, run_time_estimate> run_times; ///< observed, by service
    cell<slot_demand> short_work_demand;

    // written by limit_controller
    table<service_name, service_usage> service_usages;
    table<team_name, team_usage> team_usages;
    table<submission_id, open_submission> open_submissions;
    cell<duration> latest_virtual_start; ///< latest `team_usage::virtual_start`

    // written by ticket_controller
    cell<ticket_numbers> ticket_counters;
    /// Issue time of each batch of tickets that has not expired, by the sequence of its last
    /// ticket.
    table<std::uint64_t, time_point> ticket_batches;

    // written by forwarding_controller
    cell<correlation_id> last_correlation;
    table<correlation_id, forward_state> forwarded_requests;

    // written by submission_controller
    cell<submission_numbers> submission_counters;
    table<submission_id, submission_state> submissions;
    table<request_key, submission_id> submissions_by_key;
    table<call_id, submission_id> submissions_by_call;
    table<home_owner, task_result> task_results;
    table<submission_id, answer> retained_answers; ///< retained for resubmissions

    // written by scheduling_controller
    cell<scheduling_numbers> scheduling_counters;
    table<queue_rank, queued_work> queue;
    table<work_owner, queue_rank> ranks_by_owner;
    table<exchange_id, exchange_state> exchanges;
    table<work_owner, exchange_id> exchanges_by_owner;
    table<target_name, slot_usage> slot_usages;
    /// Instant from which each running exchange that still counts as short work counts as long.
    table<exchange_id, time_point> overrun_checks;
    cell<backlog> queue_backlog;                         ///< sums over `queue`
    table<backlog_rank, class_backlog> backlog_by_start; ///< sums over `queue`, by latest start
    cell<retry_budget> available_retries;
    table<peer_id, delegation_state> delegations;

    // written by scheduling_controller through a target_index_writer
    table<target_rank, target_name> targets_by_load;    ///< owned targets that may get tasks
    table<target_name, indexed_target> indexed_targets; ///< the same targets, by name
    cell<slot_totals> target_slot_totals;

    // appended to by all controllers, drained by the engine
    message_queue<event> raised;
    message_queue<action> outbox;

    /// Checks the invariants that hold between events, within and across sections.
    /// @throws invariant_error on the first violation
    /// Complexity: linear in the size of all sections.
    void check_invariants() const;

    /// Returns the number of submissions and waiting tasks. The cost of `check_invariants` is
    /// proportional to it.
    std::size_t entry_count() const noexcept { return submissions.size() + queue.size(); }
};

} // namespace papayafall
