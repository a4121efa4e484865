#pragma once

#include "papayafall/core/jobs/state/job_state.hpp"
#include "papayafall/core/jobs/values/membership.hpp"
#include "papayafall/core/jobs/values/worker.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace papayafall::jobs {

// To callers.

struct answer_job {
    call_id call;
    job_outcome outcome = job_outcome::refused;
    time_point retry_at{}; ///< for `refused`: when to come back
    time_point received_at{};
};

struct answer_queue_length {
    call_id call;
    std::optional<std::uint64_t> waiting; ///< empty: no such queue
};

enum class job_status : std::uint8_t {
    unknown,
    running,
    cancelled,
    no_configuration,
    unknown_queue
};

struct answer_job_status {
    call_id call;
    job_status status = job_status::unknown;
};

// To the platform's store.

struct claim_cell {
    cell_id cell;
    store_revision expected; ///< 0: the cell must not be claimed
};

struct release_cell {
    cell_id cell;
    store_revision expected;
};

struct update_host_entry {
    bool leaving = false;
};

// To other entry hosts.

struct connect_peer {
    host_entry entry;
};

struct disconnect_peer {
    host_name host;
};

struct delegate_job {
    host_name to;
    delegation_id delegation;
    job_order order;
};

struct withdraw_delegation {
    host_name to;
    delegation_id delegation;
};

struct answer_delegation {
    job_origin origin;
    job_outcome outcome = job_outcome::refused;
};

/// Tells the delegating hosts what this dispatcher has room for.
struct publish_load {
    load_report load;
};

struct release_worker {
    host_name to;
    worker_id id;
};

struct close_links {}; ///< all delegating hosts are disconnected

// To workers.

/// Where an order goes.
struct worker_address {
    worker_id id;
    endpoint address;
    fencing_token token;

    auto operator<=>(const worker_address&) const = default;
};

struct start_run {
    worker_address to;
    run_id run;
    std::string payload;
    worker_time lease_until;
    time_point timeout_at; ///< without an answer
};

struct stop_run {
    worker_address to;
    run_id run;
    time_point timeout_at;
};

struct fetch_report {
    worker_address to;
    std::uint64_t acknowledged_end = 0;     ///< ends up to here need not be told again
    std::optional<worker_time> lease_until; ///< extends every run there
    std::chrono::milliseconds max_wait{};   ///< the answer waits so long for an end
    bool long_poll = false;                 ///< the one call that keeps the lease; else a look
    time_point timeout_at;
};

struct close_worker_connections {
    worker_id id; ///< its connections are closed
};

// To the process.

struct set_readiness {
    bool ready = false;
};

struct stop_dispatcher {};

/// A decision, for the log.
struct log_decision {
    const char* decision = "";
    std::string subject; ///< id of the request, or of what the process believes
    std::vector<std::pair<const char*, std::string>> inputs;
};

using job_action =
    std::variant<answer_job, answer_queue_length, answer_job_status, claim_cell, release_cell,
                 update_host_entry, connect_peer, disconnect_peer, delegate_job,
                 withdraw_delegation, answer_delegation, publish_load, release_worker, close_links,
                 start_run, stop_run, fetch_report, close_worker_connections, set_readiness,
                 stop_dispatcher, log_decision>;

} // namespace papayafall::jobs
