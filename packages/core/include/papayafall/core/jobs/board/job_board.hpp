#pragma once

#include "papayafall/core/blackboard/cell.hpp"
#include "papayafall/core/blackboard/message_queue.hpp"
#include "papayafall/core/blackboard/table.hpp"
#include "papayafall/core/controllers/controller.hpp"
#include "papayafall/core/engine/engine.hpp"
#include "papayafall/core/jobs/messages/job_action.hpp"
#include "papayafall/core/jobs/messages/job_event.hpp"
#include "papayafall/core/jobs/state/job_state.hpp"
#include "papayafall/core/jobs/state/lifecycle_state.hpp"
#include "papayafall/core/jobs/state/membership_state.hpp"
#include "papayafall/core/jobs/state/worker_state.hpp"
#include "papayafall/core/jobs/values/queue_configuration.hpp"

#include <cstddef>
#include <vector>

namespace papayafall::jobs {

/// What a dispatcher process is.
struct dispatcher_identity {
    host_name host;
    zone_name zone;
    incarnation_id incarnation;
    endpoint link; ///< where it accepts peers (TCP)
    std::vector<zone_name> zones;
    std::int64_t cpu_millis = 0; ///< thousandths of a core that it may use; 0 is not known

    auto operator<=>(const dispatcher_identity&) const = default;
};

/// Limits that the platform sets for a deployment.
struct job_parameters {
    duration longest_lease = std::chrono::seconds(1); ///< of a worker's runs
    duration resubmission_delay = std::chrono::milliseconds(1300);
    duration stop_time = std::chrono::milliseconds(50); ///< that a stop may take
    std::uint32_t cells_per_zone = 1;

    auto operator<=>(const job_parameters&) const = default;
};

/// Name of one of the cells of a zone.
cell_id cell_named(const zone_name& zone, std::uint32_t number);

/// Where the controllers of the job dispatcher read and write.
///
/// Each section holds immutable values and has one writer, named beside it. Every controller reads
/// every section. The board belongs to the control thread alone.
class job_board {
  public:
    job_board(dispatcher_identity identity, job_parameters limits)
        : self(std::move(identity)), parameters(limits)
    {
    }

    const dispatcher_identity self;
    const job_parameters parameters;

    // written by lifecycle_controller
    cell<lifecycle_state> lifecycle;
    cell<bool> ready; ///< as last told to the balancer

    // written by directory_controller
    cell<queue_configuration> queues;
    table<worker_id, worker> workers;
    table<worker_id, time_point> vanished_workers; ///< until they are taken as gone
    table<host_name, host_entry> hosts;
    table<cell_id, claim_state> claims;

    // written by peer_controller
    table<host_name, peer_state> peers;
    cell<time_point> load_due;
    cell<load_report> told_load; ///< as last told to the other hosts

    // written by cell_controller
    table<cell_id, held_cell> cells;
    table<cell_id, pending_claim> pending_claims;
    cell<time_point> cell_review_due;

    // written by session_controller
    table<worker_id, worker_session> sessions;

    // written by health_controller
    table<worker_id, worker_health> health;

    // written by intake_controller
    cell<delegation_id> last_delegation;
    table<call_id, accepted_call> calls;
    table<delegation_id, call_id> delegations;

    // written by dispatch_controller
    cell<job_number> last_job;
    table<job_number, job_state> jobs;
    table<job_id, job_number> jobs_by_id;
    table<job_origin, job_number> jobs_by_origin;
    table<task_ref, task_state> tasks;
    table<waiting_rank, task_ref> waiting;
    table<task_ref, waiting_rank> waiting_ranks;
    table<run_id, run_state> runs;
    table<run_location, run_phase> runs_by_worker; ///< the same runs
    table<worker_id, worker_load> loads;
    table<queue_name, queue_statistics> statistics;
    cell<core_time> queued_work; ///< expected for all waiting tasks together

    // appended to by every controller, drained by the engine
    message_queue<job_event> raised;
    message_queue<job_action> outbox;

    /// Asserts what must hold between events, within and across sections.
    /// @throws invariant_error on the first breach
    /// Complexity: linear in the size of all sections.
    void check_invariants() const;

    /// Entries to which the cost of `check_invariants` is proportional.
    std::size_t entry_count() const noexcept { return jobs.size() + tasks.size() + runs.size(); }

    /// Cell of a worker.
    cell_id cell_of(const worker_fields& it) const;
};

using job_controller = basic_controller<job_board, job_event>;
using job_engine = basic_engine<job_board, job_event, job_action>;

} // namespace papayafall::jobs
