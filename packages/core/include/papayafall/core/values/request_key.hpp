#pragma once

#include "papayafall/core/values/identifiers.hpp"
#include "papayafall/core/values/time.hpp"

#include <optional>
#include <string>
#include <variant>

namespace papayafall {

/// Key issued by an entry host; it names the incarnation that decides about its submission.
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
    /// Creation time carried by a UUIDv7 key; empty for any other key.
    std::optional<wall_time> made_at;

    auto operator<=>(const caller_key&) const = default;
};

/// Identifies a submission over all its resubmissions.
using request_key = std::variant<ticket, caller_key>;

} // namespace papayafall
