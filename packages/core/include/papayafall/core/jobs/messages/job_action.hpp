#pragma once

#include "papayafall/core/jobs/state/job_state.hpp"
#include "papayafall/core/jobs/values/job_cancellation.hpp"
#include "papayafall/core/jobs/values/job_refusal.hpp"
#include "papayafall/core/jobs/values/membership.hpp"
#include "papayafall/core/jobs/values/queue_configuration.hpp"
#include "papayafall/core/jobs/values/worker.hpp"
#include "papayafall/core/jobs/values/zone_evacuation.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace papayafall::jobs {

// Actions towards callers.

/// Answers a submitted job.
struct answer_job {
    call_id call;
    job_outcome outcome = job_outcome::refused;
    time_point retry_at{}; ///< when the caller may submit again, for outcome `refused`
    time_point received_at{};
};

/// Whether the length of a queue is known. `no_configuration`: the queues are not known yet.
enum class queue_length_status : std::uint8_t { known, no_configuration, unknown_queue };

/// Answers a `queue_length_requested`.
struct answer_queue_length {
    call_id call;
    queue_length_status status = queue_length_status::known;
    std::uint64_t waiting = 0; ///< jobs without a started task, if known
};

/// State of a job as told to a caller. `unknown`: this host has no open call for the job, or no
/// host that may run it has it open; `undetermined`: not all of these hosts have answered;
/// `no_configuration`: the queues are not known yet.
enum class job_status : std::uint8_t {
    unknown,
    running,
    cancelled,
    no_configuration,
    unknown_queue,
    undetermined
};

/// Name of the status in log lines.
const char* to_string(job_status it) noexcept;

/// Answers a `job_status_requested`.
struct answer_job_status {
    call_id call;
    job_status status = job_status::unknown;
};

// Actions towards the platform's store.

/// Starts or stops following the changes of all workers. A host that does not follow them lists
/// them from time to time.
struct follow_workers {
    bool follow = true;
};

/// Writes this host's claim of a cell if the stored claim has the expected revision.
struct claim_cell {
    cell_id cell;
    store_revision expected; ///< 0: no claim may exist
};

/// Deletes the claim of a cell if it has the expected revision.
struct release_cell {
    cell_id cell;
    store_revision expected;
};

/// Updates this host's entry in the store.
struct update_host_entry {
    bool leaving = false;
};

// Actions towards other entry hosts.

/// Keeps a connection to a host open from now on.
struct connect_peer {
    host_entry entry;
};

/// Stops connecting to a host.
struct disconnect_peer {
    host_name host;
};

/// Hands a job to the dispatcher on another host.
struct delegate_job {
    host_name to;
    delegation_id delegation;
    job_order order;
    bool same_zone = false; ///< the dispatcher is in this host's zone
    bool handed_on = false; ///< another dispatcher has refused the job
    refusal_reason previous_refusal = refusal_reason::none; ///< of that dispatcher
};

/// Cancels a delegated job.
struct withdraw_delegation {
    host_name to;
    delegation_id delegation;
};

/// Tells the delegating host the outcome of a job.
struct answer_delegation {
    job_origin origin;
    job_outcome outcome = job_outcome::refused;
    job_refusal refusal; ///< for outcome `refused`
};

/// Sends this dispatcher's load to the hosts that may delegate to it.
struct publish_load {
    load_report load;
};

/// Tells the new holder of a cell that this host has no more runs on a worker.
struct release_worker {
    host_name to;
    worker_id id;
};

/// Closes all connections with other entry hosts.
struct close_links {};

/// Asks the host at the other end of a link for its configuration.
struct request_configuration {
    link_number link;
};

/// Sends the configuration in force to the host at the other end of a link.
struct send_configuration {
    link_number link;
    queue_configuration configuration;
};

/// Tells all linked hosts how many workers crashed while they ran a task.
struct publish_task_crashes {
    task_id task;
    std::uint32_t crashes = 0;
};

/// Tells all linked hosts that a job was cancelled.
struct publish_cancellation {
    job_cancellation cancellation;
};

/// Tells the host at the other end of a link that a job was cancelled.
struct send_cancellation {
    link_number link;
    job_cancellation cancellation;
};

/// Tells a host that a job was cancelled, and asks whether it had the job open.
struct request_cancellation {
    host_name to;
    job_cancellation cancellation;
};

/// Answers a `job_cancellation_requested`.
struct answer_cancellation {
    link_number link;
    job_id job;
    bool found = false;
};

/// Tells all linked hosts, now and when a link is opened, of a request to evacuate a zone.
struct publish_evacuation {
    zone_evacuation request;
};

// Actions towards the other hosts and the operators.

/// Tells which version of the configuration is in force on this host from now on.
struct publish_configuration_version {
    std::uint64_t version = 0;
};

// Actions towards workers.

/// Destination of a call to a worker, with the fencing token that authorises it.
struct worker_address {
    worker_id id;
    endpoint address;
    fencing_token token;

    auto operator<=>(const worker_address&) const = default;
};

/// Asks a worker to start a run.
struct start_run {
    worker_address to;
    run_id run;
    std::string payload;
    /// Start of the worker's process that the run is meant for; no other process gets the call.
    std::int64_t worker_started_at_ms = 0;
    worker_time lease_until; ///< also extends the lease of the worker's other runs
    time_point timeout_at;   ///< the call counts as unanswered from then on
};

/// Asks a worker to stop a run, and not to start it later.
struct stop_run {
    worker_address to;
    run_id run;
    time_point timeout_at;
};

/// Asks a worker for a report.
struct fetch_report {
    worker_address to;
    std::uint64_t acknowledged_end = 0; ///< ended runs up to this sequence number may be forgotten
    std::optional<worker_time> lease_until; ///< if set, extends the lease of all runs on the worker
    /// How long the worker may delay the answer until a run ends.
    std::chrono::milliseconds max_wait{};
    bool long_poll = false; ///< the periodic call that keeps the lease; else a single query
    time_point timeout_at;
};

/// Closes all connections to a worker.
struct close_worker_connections {
    worker_id id;
};

// Actions towards the process.

/// Sets the readiness that the load balancer sees.
struct set_readiness {
    bool ready = false;
};

/// Ends the process after the last answers were sent.
struct stop_dispatcher {};

/// Logs a decision together with the inputs that led to it.
struct log_decision {
    const char* decision = "";
    /// Id of the job, worker, cell or host that the decision is about, or the part of the process.
    std::string subject;
    std::vector<std::pair<const char*, std::string>> inputs;
};

using job_action = std::variant<
    answer_job, answer_queue_length, answer_job_status, follow_workers, claim_cell, release_cell,
    update_host_entry, connect_peer, disconnect_peer, delegate_job, withdraw_delegation,
    answer_delegation, publish_load, release_worker, close_links, request_configuration,
    send_configuration, publish_configuration_version, publish_task_crashes, publish_cancellation,
    send_cancellation, request_cancellation, answer_cancellation, publish_evacuation, start_run,
    stop_run, fetch_report, close_worker_connections, set_readiness, stop_dispatcher, log_decision>;

} // namespace papayafall::jobs
