#pragma once

#include <compare>
#include <cstdint>

namespace papayafall {

/// Next numbers that the submission controller gives out.
struct submission_numbers {
    std::uint64_t next_submission = 1;
    std::uint64_t next_correlation = 1;
    std::uint64_t next_ticket = 1;
    /// Tickets up to this sequence have no record any more and start nothing.
    std::uint64_t expired_ticket = 0;
    /// Total size of the kept answers, in bytes.
    std::uint64_t answer_bytes = 0;

    auto operator<=>(const submission_numbers&) const = default;
};

/// Next numbers that the scheduling controller gives out.
struct scheduling_numbers {
    std::uint64_t next_exchange = 1;
    std::uint64_t next_sequence = 1;

    auto operator<=>(const scheduling_numbers&) const = default;
};

} // namespace papayafall
