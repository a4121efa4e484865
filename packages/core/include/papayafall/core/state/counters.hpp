#pragma once

#include <compare>
#include <cstdint>

namespace papayafall {

/// Counters of the ticket controller: which tickets of this process were issued and which of them
/// are too old to start tasks.
struct ticket_numbers {
    std::uint64_t next_sequence = 1;         ///< sequence of the next ticket
    std::uint64_t last_expired_sequence = 0; ///< 0: none has expired

    auto operator<=>(const ticket_numbers&) const = default;
};

/// Counters of the submission controller.
struct submission_numbers {
    std::uint64_t next_submission = 1;
    /// Total size of the retained answers, in bytes.
    std::uint64_t answer_bytes = 0;

    auto operator<=>(const submission_numbers&) const = default;
};

/// Counters of the scheduling controller.
struct scheduling_numbers {
    std::uint64_t next_exchange = 1; ///< next `exchange_id`
    std::uint64_t next_sequence = 1; ///< next arrival number in the queue

    auto operator<=>(const scheduling_numbers&) const = default;
};

} // namespace papayafall
