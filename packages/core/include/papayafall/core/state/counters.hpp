#pragma once

#include <compare>
#include <cstdint>

namespace papayafall {

/// Which tickets were issued and which of them are too old to start work.
struct ticket_numbers {
    std::uint64_t next_sequence = 1;
    std::uint64_t last_expired_sequence = 0;

    auto operator<=>(const ticket_numbers&) const = default;
};

/// Next numbers that the submission controller gives out.
struct submission_numbers {
    std::uint64_t next_submission = 1;
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
