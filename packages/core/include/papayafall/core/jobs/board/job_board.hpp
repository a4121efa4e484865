#pragma once

#include "papayafall/core/blackboard/cell.hpp"
#include "papayafall/core/blackboard/message_queue.hpp"
#include "papayafall/core/blackboard/table.hpp"
#include "papayafall/core/controllers/controller.hpp"
#include "papayafall/core/engine/engine.hpp"
#include "papayafall/core/jobs/messages/job_action.hpp"
#include "papayafall/core/jobs/messages/job_event.hpp"
#include "papayafall/core/jobs/state/admission_share.hpp"
#include "papayafall/core/jobs/state/cancellation_state.hpp"
#include "papayafall/core/jobs/state/evacuation_state.hpp"
#include "papayafall/core/jobs/state/job_state.hpp"
#include "papayafall/core/jobs/state/lifecycle_state.hpp"
#include "papayafall/core/jobs/state/membership_state.hpp"
#include "papayafall/core/jobs/state/place_index.hpp"
#include "papayafall/core/jobs/state/slowness_estimate.hpp"
#include "papayafall/core/jobs/state/worker_state.hpp"
#include "papayafall/core/jobs/values/demand_sample.hpp"
#include "papayafall/core/jobs/values/queue_configuration.hpp"

#include <cstddef>
#include <vector>

namespace papayafall::jobs {

/// Identity of a dispatcher process.
struct dispatcher_identity {
    host_name host;
    zone_name zone;
    incarnation_id incarnation;
    endpoint peer_endpoint;                ///< where it accepts links of other entry hosts (TCP)
    std::vector<zone_name> platform_zones; ///< whose cells it may claim
    std::int64_t cpu_millis = 0;           ///< thousandths of a core that it may use; 0: unknown

    auto operator<=>(const dispatcher_identity&) const = default;
};

/// Limits that the platform sets for a deployment.
struct job_parameters {
    /// Longest time for which the lease of a worker's runs may be extended.
    duration longest_lease = std::chrono::seconds(1);
    /// Time before which a caller does not submit an interrupted job again.
    duration resubmission_delay = std::chrono::milliseconds(1300);
    /// Time within which a worker ends a run after it was told to stop it.
    duration max_run_stop_time = std::chrono::milliseconds(50);
    std::uint32_t cells_per_zone = 1;

    auto operator<=>(const job_parameters&) const = default;
};

/// Id of one cell of a zone.
/// @param number index within the zone, less than `job_parameters::cells_per_zone`
cell_id make_cell_id(const zone_name& zone, std::uint32_t number);

/// Zone of the workers of a cell.
zone_name zone_of(const cell_id& cell);

/// Blackboard of the job dispatcher, which its controllers read and write.
///
/// Each section holds immutable values and has one writer, named beside it; every controller may
/// read every section. Only the control thread uses the board.
class job_board {
  public:
    job_board(dispatcher_identity identity, job_parameters limits)
        : self(std::move(identity)), parameters(limits)
    {
    }

    const dispatcher_identity self;
    const job_parameters parameters;

    // written by job_lifecycle_controller
    cell<lifecycle_state> lifecycle;
    cell<bool> published_readiness; ///< as last reported to the load balancer

    // written by job_configuration_controller
    cell<queue_configuration> configuration;
    cell<time_point> configuration_confirmed_at; ///< by the store; the epoch: never
    /// Newer versions that linked hosts offer and were not asked for yet.
    table<link_number, std::uint64_t> offered_configurations;
    cell<time_point> configuration_request_due{no_deadline};

    // written by evacuation_controller
    table<zone_name, evacuation_state> evacuations; ///< also those that have ended

    // written by directory_controller
    table<worker_id, worker> workers;
    table<worker_id, time_point> unlisted_workers; ///< instant at which each is removed
    cell<worker_view> view_of_workers;             ///< at the start, every change is followed
    table<host_name, host_entry> hosts;
    table<cell_id, claim_state> stored_claims; ///< as last seen in the store

    // written by peer_controller
    table<host_name, peer_state> peers;
    cell<time_point> load_report_due;
    cell<load_report> published_load; ///< as last reported to the other hosts

    // written by cell_controller
    table<cell_id, held_cell> held_cells;
    table<cell_id, pending_claim> pending_claims;
    cell<time_point> workers_needed_until; ///< a claim needs the current workers until then
    cell<time_point> cell_review_due;

    // written by session_controller
    table<worker_id, worker_session> sessions;

    // written by health_controller
    table<worker_id, worker_health> health;

    // written by place_controller
    table<worker_id, indexed_worker> indexed_workers;
    /// Free capacity of the workers that can be given runs.
    table<free_capacity_key, resources> free_capacities;
    table<service_name, service_capacity> service_capacities;
    cell<time_point> room_log_due;

    // written by speed_controller
    table<worker_id, slowness_estimate> worker_slowness;
    table<label_name, slowness_estimate> label_slowness; ///< the empty label stands for all workers
    cell<time_point> speed_review_due;

    // written by crash_controller
    table<task_id, std::uint32_t> task_crashes;   ///< workers that crashed under each task lately
    table<worker_id, time_point> crashed_workers; ///< when each (probably) crashed, for a while
    /// Runs lost on workers that may have crashed, with the start of the worker's process.
    table<lost_run_key, std::int64_t> lost_runs;

    // written by intake_controller
    cell<delegation_id> last_delegation_id;
    table<call_id, unmatched_call> unmatched_calls; ///< wait for the first configuration
    table<call_id, accepted_call> calls;
    table<delegation_id, call_id> calls_by_delegation;
    table<job_call, call_id> calls_by_job; ///< index of `calls`

    // written by cancellation_controller
    table<job_id, cancelled_job> cancelled_jobs;         ///< until no copy of a request can arrive
    table<job_id, open_cancellation> open_cancellations; ///< other hosts are asked about the job

    // written by dispatch_controller
    cell<job_number> last_job_number;
    table<job_number, job_state> jobs;
    table<job_id, job_number> jobs_by_id;
    table<job_origin, job_number> jobs_by_origin;
    table<task_ref, task_state> tasks;
    table<waiting_rank, task_ref> waiting_tasks;
    table<task_ref, waiting_rank> waiting_ranks; ///< index of `waiting_tasks`
    /// Jobs of which no task was started, in the order in which they get room.
    table<waiting_job_rank, waiting_job> waiting_jobs;
    table<job_number, waiting_job_rank> waiting_job_ranks; ///< index of `waiting_jobs`
    table<service_name, service_backlog> backlogs;
    cell<time_point> queue_review_due;
    table<queue_name, queue_admissions> admissions_by_queue;
    cell<admission_share> admissions;              ///< of all queues together
    table<run_id, run_state> runs;                 ///< their deadlines are their expected ends
    table<run_id, worker_id> refused_stops;        ///< each is sent again at its deadline
    table<run_location, run_phase> runs_by_worker; ///< index of `runs`
    table<worker_id, worker_load> worker_loads;
    /// Tasks under which workers crashed and that run now, each alone on a worker.
    table<worker_id, task_ref> trials;
    cell<worker_id> reserved_worker; ///< gets no runs but a trial; empty: none
    table<queue_name, queue_statistics> run_time_statistics;
    cell<core_time> queued_work; ///< declared work of all waiting tasks
    cell<demand_sample> recent_demands;
    cell<place_reservation> reserved_place;

    // appended to by every controller, drained by the engine
    message_queue<job_event> raised;
    message_queue<job_action> outbox;

    /// Checks the invariants that hold between events, within and across sections.
    /// @throws invariant_error on the first violation
    /// Complexity: linear in the size of all sections.
    void check_invariants() const;

    /// Number of entries that the cost of `check_invariants` grows with.
    std::size_t entry_count() const noexcept { return jobs.size() + tasks.size() + runs.size(); }

    /// Cell that a worker belongs to, by a hash of its id.
    cell_id cell_of(const worker_fields& it) const;
};

using job_controller = basic_controller<job_board, job_event>;
using job_engine = basic_engine<job_board, job_event, job_action>;

} // namespace papayafall::jobs
