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

/// Where the controllers of one process read and write.
///
/// Each section holds immutable values and has one writer, named beside it. Every controller
/// reads every section. The blackboard belongs to the control thread alone.
class blackboard {
  public:
    blackboard(const self_state& identity, core_parameters limits)
        : parameters(std::move(limits)), self(identity)
    {
    }

    const core_parameters parameters;

    // written by lifecycle_controller
    cell<self_state> self;
    cell<bool> stop_posted; ///< `stop_process` was posted

    // written by membership_controller
    table<host_name, host_state> hosts;
    cell<host_list_snapshot> host_list;
    cell<heartbeat> own_heartbeat; ///< the last one sent
    cell<time_point> heartbeat_due;

    // written by configuration_controller
    cell<configuration> current_configuration;
    cell<applied_change> last_change; ///< how `current_configuration` came into force
    cell<bool> watching_configuration;
    cell<time_point> configuration_fetch_due;

    // written by status_controller
    cell<time_point> status_due;

    // written by seat_controller
    cell<time_point> session_lease_until; ///< instant at which the platform session may lapse
    table<seat_id, seat_state> seats;

    // written by target_controller
    table<target_name, target_state> targets; ///< of this host's zone
    cell<zone_health> target_health;
    cell<target_division> division;

    // written by estimate_controller
    table<service_name, run_time_estimate> run_times;
    cell<slot_demand> short_work_demand;

    // written by limit_controller
    table<service_name, service_usage> service_usages;
    table<team_name, team_usage> team_usages;
    table<submission_id, open_submission> open_submissions;
    cell<duration> latest_virtual_start; ///< of all teams

    // written by ticket_controller
    cell<ticket_numbers> ticket_counters;
    table<std::uint64_t, time_point>
        ticket_batches; ///< last ticket of each issue, until it expires

    // written by forwarding_controller
    cell<correlation_id> last_correlation;
    table<correlation_id, forward_state> forwarded_requests;

    // written by submission_controller
    cell<submission_numbers> submission_counters;
    table<submission_id, submission_state> submissions;
    table<request_key, submission_id> submissions_by_key;
    table<call_id, submission_id> submissions_by_call;
    table<home_owner, task_result> task_results;
    table<submission_id, answer> retained_answers; ///< kept for resubmissions

    // written by scheduling_controller
    cell<scheduling_numbers> scheduling_counters;
    table<queue_rank, queued_work> queue;
    table<work_owner, queue_rank> ranks_by_owner;
    table<exchange_id, exchange_state> exchanges;
    table<work_owner, exchange_id> exchanges_by_owner;
    table<target_name, slot_usage> slot_usages;
    table<exchange_id, time_point> overrun_checks; ///< instant from which each counts as long
    cell<backlog> queue_backlog;                   ///< sums over `queue`
    table<backlog_rank, class_backlog> backlog_by_start;
    cell<retry_budget> available_retries;
    table<peer_id, delegation_state> delegations;

    // written by scheduling_controller through a target_index_writer
    table<target_rank, target_name> targets_by_load;    ///< owned targets that may get work
    table<target_name, indexed_target> indexed_targets; ///< the same targets by name
    cell<slot_totals> target_slot_totals;

    // appended to by every controller, drained by the engine
    message_queue<event> raised;
    message_queue<action> outbox;

    /// Asserts what must hold between events, within and across sections.
    /// @throws invariant_error on the first breach
    /// Complexity: linear in the size of all sections.
    void check_invariants() const;

    /// Submissions and waiting tasks, to which the cost of `check_invariants` is proportional.
    std::size_t entry_count() const noexcept { return submissions.size() + queue.size(); }
};

} // namespace papayafall
