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
    /// A host without a heartbeat for this long counts as gone.
    duration host_timeout = std::chrono::seconds(3);
    /// Time between two published status snapshots.
    duration status_period = std::chrono::milliseconds(500);
    /// Time between two attempts to read a newer configuration from a peer.
    duration configuration_fetch_period = std::chrono::milliseconds(500);

    /// Time for which the record of a closed submission is kept.
    duration record_retention = std::chrono::minutes(10);
    /// Largest number of submission records; beyond it new work is refused.
    std::size_t record_limit = 200'000;
    /// Largest total size of kept answers, in bytes; beyond it the oldest are dropped.
    std::size_t answer_bytes_limit = 48U << 20U;

    /// Largest error of a host's wall clock.
    std::chrono::milliseconds max_clock_error{500};
    /// How far in the future the creation time of a key may lie.
    std::chrono::milliseconds key_future_limit{1000};

    /// Time between two claims of the same seat.
    duration seat_retry_period = std::chrono::seconds(1);
    /// Time after which an unanswered claim is made again.
    duration seat_claim_timeout = std::chrono::seconds(5);

    /// How often a request is forwarded before it is answered with an unknown outcome.
    std::uint32_t max_forward_attempts = 3;
    /// Longest wait for the answer to a forwarded request that has no deadline.
    duration forward_timeout = std::chrono::seconds(30);
    /// Time beyond the deadline of its work for which an exchange waits for the answer: the slot is
    /// in use anyway, and the home keeps a late answer for a resubmission.
    duration exchange_grace = std::chrono::seconds(2);
    /// Time after a shutdown request during which new requests are still accepted.
    duration drain_period = std::chrono::seconds(2);

    /// Age up to which a key that has no record may still start work.
    duration key_lifetime() const noexcept { return record_retention / 2; }

    auto operator<=>(const core_parameters_fields&) const = default;
};

/// Periods, limits and clock bounds of the core.
using core_parameters = value<core_parameters_fields>;

} // namespace papayafall
