#pragma once

#include "papayafall/core/jobs/state/job_state.hpp"
#include "papayafall/core/jobs/values/membership.hpp"
#include "papayafall/core/jobs/values/queue_configuration.hpp"
#include "papayafall/core/jobs/values/worker.hpp"

#include <optional>
#include <string>
#include <variant>

namespace papayafall::jobs {

// From the platform's store.

struct store_reached {};

struct store_lost {};

struct configuration_read {
    queue_configuration configuration;
};

struct worker_listed {
    worker entry;
};

struct worker_unlisted {
    worker_id id;
};

struct host_listed {
    host_entry entry;
};

struct host_unlisted {
    host_name host;
};

struct claim_listed {
    cell_id cell;
    cell_claim claim;
};

struct claim_unlisted {
    cell_id cell;
};

enum class claim_result : std::uint8_t { granted, conflict, unanswered };

struct claim_answered {
    cell_id cell;
    claim_result result = claim_result::unanswered;
    store_revision revision; ///< of the new claim, where granted
};

// From callers.

struct job_submitted {
    call_id call;
    std::string hostname;
    std::string path;
    job_spec job;
    time_point received_at;
    time_point answer_by; ///< the caller stops waiting
};

/// The caller asks for a queue's number of waiting jobs.
struct queue_length_requested {
    call_id call;
    std::string hostname;
    std::string path;
};

/// The caller asks for the state of a job, or to cancel it.
struct job_status_requested {
    call_id call;
    std::string hostname;
    std::string path;
    job_id job;
    bool cancel = false;
};

struct call_abandoned {
    call_id call;
};

// From other entry hosts.

struct peer_connected {
    host_name host;
    incarnation_id incarnation;
};

struct peer_lost {
    host_name host;
};

struct load_reported {
    host_name host;
    load_report load;
};

struct delegation_answered {
    delegation_id delegation;
    job_outcome outcome = job_outcome::interrupted;
};

struct delegation_received {
    job_origin origin;
    job_order order;
};

struct delegation_withdrawn {
    job_origin origin;
};

struct delegator_lost {
    link_number link;
};

/// A former dispatcher has no more runs on a worker.
struct worker_released {
    worker_id id;
};

// From workers.

enum class start_result : std::uint8_t {
    accepted,
    fenced,        ///< a higher token was seen
    outdated,      ///< a run of that number or a higher one ended there
    lease_expired, ///< the lease had run out on arrival
    insufficient_capacity,
    not_ready,      ///< an unhealthy worker; nothing was done
    other_instance, ///< another life of the worker answered
    rejected,       ///< the order was not understood
    unanswered,     ///< it may be carried out, also later
};

const char* to_string(start_result it) noexcept;

struct start_answered {
    worker_id worker;
    run_id run;
    start_result result = start_result::unanswered;
};

struct stop_answered {
    worker_id worker;
    run_id run;
    bool accepted = false; ///< the worker answered; else unknown
};

struct report_received {
    worker_id worker;
    fencing_token token;
    worker_report report;
    time_point sent_at;
    bool long_poll = false; ///< of the waiting call, not of a look
};

enum class call_failure : std::uint8_t {
    connection_refused, ///< nothing listens at the address: the process is gone
    connection_lost,    ///< the connection ended
    timed_out,
    fenced,
    other_instance,
    not_ready,
};

const char* to_string(call_failure it) noexcept;

struct report_failed {
    worker_id worker;
    fencing_token token;
    call_failure reason = call_failure::connection_lost;
    time_point sent_at{};
    bool long_poll = false;
};

// From the process.

struct stop_requested {
    time_point stop_by;
};

/// The process did not run for a while; its deadlines passed unseen.
struct process_resumed {
    duration suspended{};
};

// Raised by controllers for one another.

/// The time of a graceful stop is up: whatever is open is answered now.
struct process_stopping {};

struct cell_acquired {
    cell_id cell;
};

struct cell_lost {
    cell_id cell;
};

struct run_finished {
    worker_id worker;
    run_id run;
    run_outcome outcome = run_outcome::unknown;
};

/// A run stood still, or was much slower than its kind.
struct run_stalled {
    worker_id worker;
};

struct run_time_measured {
    worker_id worker;
    double ratio = 1; ///< measured over expected run time
};

/// No run that this host ordered earlier goes on at the worker: its process is gone, or every lease
/// has lapsed.
struct worker_runs_terminated {
    worker_id worker;
    time_point ordered_before{};
};

/// The worker started again under the same name. What it reports from now on tells which runs go
/// on.
struct worker_restarted {
    worker_id worker;
};

/// Another host took the worker over, or this host gave it up with runs on it.
struct worker_ownership_lost {
    worker_id worker;
};

/// The dispatcher of this process is done with a delegated job.
struct job_finished {
    job_origin origin;
    job_outcome outcome = job_outcome::interrupted;
};

/// A job went to another dispatcher.
struct job_delegated {
    host_name to;
};

/// An order extended the lease of a worker's runs.
struct lease_extended {
    worker_id worker;
    time_point lease_expired_by;
};

using job_event =
    std::variant<store_reached, store_lost, configuration_read, worker_listed, worker_unlisted,
                 host_listed, host_unlisted, claim_listed, claim_unlisted, claim_answered,
                 job_submitted, queue_length_requested, job_status_requested, call_abandoned,
                 peer_connected, peer_lost, load_reported, delegation_answered, delegation_received,
                 delegation_withdrawn, delegator_lost, worker_released, start_answered,
                 stop_answered, report_received, report_failed, stop_requested, process_resumed,
                 process_stopping, cell_acquired, cell_lost, run_finished, run_stalled,
                 run_time_measured, worker_runs_terminated, worker_restarted, worker_ownership_lost,
                 job_finished, job_delegated, lease_extended>;

} // namespace papayafall::jobs
