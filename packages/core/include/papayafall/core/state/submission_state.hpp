#pragma once

#include "papayafall/core/values/answer.hpp"
#include "papayafall/core/values/request_key.hpp"
#include "papayafall/core/values/value.hpp"
#include "papayafall/core/values/work.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace papayafall {

struct submission_state_fields {
    std::optional<request_key> key;
    std::uint64_t fingerprint = 0;
    service_name service;
    std::uint32_t tasks = 0;
    std::uint32_t unfinished_tasks = 0; ///< tasks without a result
    bool closed = false;                ///< answered; the record is kept for resubmissions
    run_state run = run_state::not_run; ///< once closed: whether the work ran
    /// While open: deadline of the request; once closed: instant at which the record is dropped.
    time_point deadline = no_deadline;
    std::vector<request_origin> waiters; ///< callers and peers that wait for the answer

    auto operator<=>(const submission_state_fields&) const = default;
};

/// Record of a submission at its home; it determines whether the tasks may be started.
using submission_state = value<submission_state_fields>;

struct forward_state_fields {
    request_origin origin;
    peer_id home;
    request content;
    std::uint32_t attempts = 1; ///< including the current one

    auto operator<=>(const forward_state_fields&) const = default;
};

/// A request that this process has forwarded to its home.
using forward_state = value<forward_state_fields>;

} // namespace papayafall
