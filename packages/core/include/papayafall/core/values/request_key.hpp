#pragma once

#include "papayafall/core/values/identifiers.hpp"
#include "papayafall/core/values/time.hpp"

#include <optional>
#include <string>
#include <variant>

namespace papayafall {

/// Key issued by an entry host. The incarnation that it names is the home of its submission.
struct ticket {
    zone_name zone;
    host_name host;
    incarnation_id incarnation;
    std::uint64_t sequence = 0;

    auto operator<=>(const ticket&) const = default;
};

/// Key chosen by the caller (`Idempotency-Key`).
struct caller_key {
    std::string text;
    /// Creation time that a UUIDv7 key contains; empty for any other key.
    std::optional<wall_time> created_at;

    auto operator<=>(const caller_key&) const = default;
};

/// Identifies a submission across all its resubmissions.
using request_key = std::variant<ticket, caller_key>;

} // namespace papayafall
