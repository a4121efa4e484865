#pragma once

#include "papayafall/core/jobs/state/job_state.hpp"
#include "papayafall/core/jobs/values/job_cancellation.hpp"
#include "papayafall/core/jobs/values/job_refusal.hpp"
#include "papayafall/core/jobs/values/membership.hpp"
#include "papayafall/core/jobs/values/queue_configuration.hpp"
#include "papayafall/core/jobs/values/worker.hpp"
#include "papayafall/core/jobs/values/zone_evacuation.hpp"

#include <optional>
#include <string>
#include <variant>

namespace papayafall::jobs {

// Events from the platform's store.

/// The store is reachable and all its entries have been read.
struct store_reached {};

/// The store has not answered for a while.
struct store_lost {};

/// The configuration was read for the first time, or has changed.
struct configuration_read {
    queue_configuration configuration;
    host_name sender; ///< host that sent it; empty: it was read from the store
};

/// The store confirmed that the configuration last read is the newest.
struct configuration_confirmed {};

/// The store lists a request to evacuate a zone.
struct zone_evacuation_listed {
    zone_name zone;
    store_revision revision;
};

/// A request to evacuate a zone was removed from the store.
struct zone_evacuation_unlisted {
    zone_name zone;
};

/// All requests to evacuate a zone that the store held at a revision were reported.
struct zone_evacuations_confirmed {
    store_revision as_of;
};

/// A worker was added to the store, or its entry has changed.
struct worker_listed {
    worker entry;
};

/// A worker was removed from the store.
struct worker_unlisted {
    worker_id id;
};

/// All workers that the store lists were reported, and their changes are followed from now on.
struct workers_followed {};

/// An entry host was added to the store, or its entry has changed.
struct host_listed {
    host_entry entry;
};

/// An entry host was removed from the store.
struct host_unlisted {
    host_name host;
};

/// A claim of a cell was written to the store.
struct claim_listed {
    cell_id cell;
    cell_claim claim;
};

/// The claim of a cell was removed from the store.
struct claim_unlisted {
    cell_id cell;
};

/// Result of a `claim_cell`. `conflict`: the stored claim did not have the expected revision.
enum class claim_result : std::uint8_t { granted, conflict, unanswered };

/// The store answered a `claim_cell`, or did not answer in time.
struct claim_answered {
    cell_id cell;
    claim_result result = claim_result::unanswered;
    store_revision revision; ///< of the new claim, if granted
};

// Events from callers.

/// A caller submitted a job.
struct job_submitted {
    call_id call;
    std::string hostname;
    std::string path;
    job_spec job;
    time_point received_at; ///< when it arrived at this host, possibly long before it was read
    time_point answer_by;   ///< when the caller stops waiting
};

/// A caller asks how many jobs wait in a queue.
struct queue_length_requested {
    call_id call;
    std::string hostname;
    std::string path;
};

/// A caller asks for the status of a job, or to cancel it.
struct job_status_requested {
    call_id call;
    std::string hostname;
    std::string path;
    job_id job;
    bool cancel = false;
};

/// The connection of a caller ended before its job was answered.
struct call_abandoned {
    call_id call;
};

// Events from other entry hosts.

/// The outgoing connection to a host is established.
struct peer_connected {
    host_name host;
    incarnation_id incarnation;
    link_number link{};
};

/// The outgoing connection to a host has ended.
struct peer_lost {
    host_name host;
};

/// A dispatcher sent its load.
struct load_reported {
    host_name host;
    load_report load;
};

/// A dispatcher answered a job that this host delegated to it.
struct delegation_answered {
    delegation_id delegation;
    job_outcome outcome = job_outcome::interrupted;
    job_refusal refusal; ///< for outcome `refused`
};

/// A host, possibly this one, delegates a job to the dispatcher of this process.
struct delegation_received {
    job_origin origin;
    job_order order;
};

/// The delegating host cancels a job.
struct delegation_withdrawn {
    job_origin origin;
};

/// The incoming connection of a delegating host is established.
struct delegator_connected {
    link_number link;
};

/// The incoming connection of a delegating host has ended.
struct delegator_lost {
    link_number link;
};

/// A linked host tells which version of the configuration is in force there.
struct configuration_offered {
    link_number link;
    std::uint64_t version = 0;
};

/// A linked host asks for the configuration that is in force on this one.
struct configuration_requested {
    link_number link;
};

/// A linked host tells of a request to evacuate a zone, or of its end.
struct zone_evacuation_reported {
    zone_evacuation request;
    host_name sender;
};

/// A linked host tells how many workers crashed while they ran a task.
struct task_crashes_reported {
    task_id task;
    std::uint32_t crashes = 0;
};

/// A linked host tells that a job was cancelled.
struct job_cancellation_reported {
    job_cancellation cancellation;
};

/// A linked host asks whether this one has a cancelled job open.
struct job_cancellation_requested {
    link_number link;
    job_cancellation cancellation;
};

/// A host answered a `request_cancellation`.
struct job_cancellation_answered {
    host_name host;
    job_id job;
    bool found = false; ///< it had the job open, or knows of a host that had
};

/// The previous holder of a worker's cell has no more runs on the worker.
struct worker_released {
    worker_id id;
};

// Events from workers.

/// Answer of a worker to a `start_run`.
enum class start_result : std::uint8_t {
    accepted,
    fenced,   ///< the worker has seen a higher fencing token
    outdated, ///< the worker has already closed a run of the task with this number or a higher one
    lease_expired,         ///< the lease had expired when the call arrived
    insufficient_capacity, ///< the run does not fit the free capacity
    connection_refused,    ///< nothing was sent, as for a `fetch_report`
    not_ready,             ///< the worker is unhealthy; nothing was started
    other_instance,        ///< another process of the worker answered, or none; nothing was started
    rejected,              ///< the worker could not interpret the call
    unanswered, ///< no answer in time; the run may have been started, or be started later
};

/// Name of the result in log lines.
const char* to_string(start_result it) noexcept;

/// A worker answered a `start_run`, or did not answer in time.
struct start_answered {
    worker_id worker;
    run_id run;
    start_result result = start_result::unanswered;
};

/// A worker answered a `stop_run`, or did not answer in time.
struct stop_answered {
    worker_id worker;
    run_id run;
    bool accepted = false; ///< false: rejected or not answered, so the run may go on
};

/// A worker answered a `fetch_report`.
struct report_received {
    worker_id worker;
    fencing_token token; ///< that the call was sent with
    worker_report report;
    time_point sent_at;     ///< when the call was sent
    bool long_poll = false; ///< as in the call
};

/// Why a `fetch_report` failed.
enum class call_failure : std::uint8_t {
    connection_refused, ///< rejected on the way or by the worker's host; its process may go on
    connection_lost,    ///< the connection ended, or the answer was not readable
    timed_out,
    fenced,
    other_instance,
    not_ready,
};

/// Name of the failure in log lines.
const char* to_string(call_failure it) noexcept;

/// A `fetch_report` failed.
struct report_failed {
    worker_id worker;
    fencing_token token; ///< that the call was sent with
    call_failure reason = call_failure::connection_lost;
    time_point sent_at{};
    bool long_poll = false;
};

// Events from the process.

/// The process is asked to stop gracefully.
struct stop_requested {
    time_point stop_by; ///< when the process ends at the latest
};

/// The process continues after a suspension, during which deadlines may have passed unnoticed.
struct process_resumed {
    duration suspended{};
};

// Events that controllers raise for one another.

/// The process stops now, because nothing is left to do or the time of the graceful stop is up.
/// All open jobs are answered.
struct process_stopping {};

/// This host now controls the workers of a cell.
struct cell_acquired {
    cell_id cell;
};

/// This host no longer controls the workers of a cell.
struct cell_lost {
    cell_id cell;
};

/// A worker reported the end of a run.
struct run_finished {
    worker_id worker;
    run_id run;
    run_outcome outcome = run_outcome::unknown;
};

/// A run made no progress for too long.
struct run_stalled {
    worker_id worker;
};

/// A run ended successfully and its run time is known.
struct run_time_measured {
    worker_id worker;
    double ratio = 1;    ///< measured divided by expected run time, on workers of its kind
    duration measured{}; ///< from the start call to the report of the end
    duration declared{}; ///< by the caller
};

/// All runs that this host started on an unreachable worker have ended, because their leases have
/// expired.
struct worker_runs_terminated {
    worker_id worker;
    bool suspected_crash = false; ///< the worker refused connections, although it is not leaving
};

/// The lease of a run has expired on a worker that may have crashed. Only the next report of the
/// worker tells whether it has.
struct run_lost {
    worker_id worker;
    task_id task;
    std::int64_t worker_started_at_ms = 0; ///< of the process that the run was sent to; 0: unknown
};

/// A worker crashed while it had a run of the task.
struct worker_crashed_under_task {
    worker_id worker;
    task_id task;
};

/// The number of workers that crashed under a task has increased.
struct task_crashes_counted {
    task_id task;
};

/// The worker was restarted under the same id. Only its later reports tell which runs go on.
struct worker_restarted {
    worker_id worker;
};

/// This host no longer controls the worker: another host took it over, or this host gave up its
/// cell.
struct worker_ownership_lost {
    worker_id worker;
};

/// The dispatcher of this process finished a job that was delegated to it.
struct job_finished {
    job_origin origin;
    job_outcome outcome = job_outcome::interrupted;
    job_refusal refusal; ///< for outcome `refused`
};

/// A job that this host has open was cancelled, here or at another host.
struct job_cancelled {
    job_id job;
};

/// This host delegated a job to another dispatcher.
struct job_delegated {
    host_name to;
    std::int64_t cpu_millis = 0; ///< demand of its largest step, in thousandths of a core
};

/// A call extended the lease of a worker's runs.
struct lease_extended {
    worker_id worker;
    time_point lease_expired_by; ///< when the lease has certainly expired
};

using job_event = std::variant<
    store_reached, store_lost, configuration_read, configuration_confirmed, worker_listed,
    worker_unlisted, workers_followed, host_listed, host_unlisted, claim_listed, claim_unlisted,
    claim_answered, job_submitted, queue_length_requested, job_status_requested, call_abandoned,
    peer_connected, peer_lost, load_reported, delegation_answered, delegation_received,
    delegation_withdrawn, delegator_connected, delegator_lost, configuration_offered,
    configuration_requested, task_crashes_reported, worker_released, start_answered, stop_answered,
    report_received, report_failed, stop_requested, process_resumed, process_stopping,
    cell_acquired, cell_lost, run_finished, run_stalled, run_time_measured, worker_runs_terminated,
    run_lost, worker_crashed_under_task, task_crashes_counted, worker_restarted,
    worker_ownership_lost, job_finished, job_delegated, lease_extended, job_cancellation_reported,
    job_cancellation_requested, job_cancellation_answered, job_cancelled, zone_evacuation_listed,
    zone_evacuation_unlisted, zone_evacuations_confirmed, zone_evacuation_reported>;

} // namespace papayafall::jobs
