#pragma once

#include "papayafall/core/values/time.hpp"
#include "papayafall/core/values/value.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace papayafall {

struct core_parameters_fields {
    /// Time between two heartbeats of this host.
    duration heartbeat_period = std::chrono::milliseconds(500);
    /// Time without a heartbeat after which a host counts as gone.
    duration host_timeout = std::chrono::seconds(3);
    /// Time between two published status snapshots.
    duration status_period = std::chrono::milliseconds(500);
    /// Time between two attempts to read a newer configuration from a peer.
    duration configuration_fetch_period = std::chrono::milliseconds(500);

    /// Time for which the record of a closed submission is kept.
    duration record_retention = std::chrono::minutes(10);
    /// Largest number of submission records; new requests beyond it are refused.
    std::size_t record_limit = 200'000;
    /// Largest total size of the retained answers, in bytes; the oldest beyond it are dropped.
    std::size_t answer_bytes_limit = 48U << 20U;

    /// Assumed upper bound on the error of a host's wall clock.
    std::chrono::milliseconds max_clock_error{500};
    /// How far in the future the creation time of a key may lie.
    std::chrono::milliseconds key_future_limit{1000};

    /// Time from a refused claim of a seat to the next one.
    duration seat_retry_period = std::chrono::seconds(1);
    /// Time after which an unanswered claim of a seat is repeated.
    duration seat_claim_timeout = std::chrono::seconds(5);

    /// Number of attempts to forward a request before its outcome is reported as unknown.
    std::uint32_t max_forward_attempts = 3;
    /// Longest wait for the answer to a forwarded request, unless its deadline is earlier.
    duration forward_timeout = std::chrono::seconds(30);
    /// Time after the deadline of a task for which its exchange still waits for the answer. The
    /// slot stays occupied in any case, and the home keeps a late answer for a resubmission.
    duration exchange_grace = std::chrono::seconds(2);
    /// Time after a shutdown request during which new requests are still accepted.
    duration drain_period = std::chrono::seconds(2);

    /// Age up to which a key without a record may still start tasks.
    duration key_lifetime() const noexcept { return record_retention / 2; }

    auto operator<=>(const core_parameters_fields&) const = default;
};

/// Periods, limits and clock error bounds of the core.
using core_parameters = value<core_parameters_fields>;

} // namespace papayafall
