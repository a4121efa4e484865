#pragma once

#include "papayafall/core/values/identifiers.hpp"
#include "papayafall/core/values/time.hpp"
#include "papayafall/platform/clock/clock_source.hpp"

#include <compare>
#include <optional>
#include <string>
#include <vector>

namespace papayafall {

/// Configuration revision in force at an entry host.
struct host_revision {
    std::string url;
    std::optional<revision_id> revision; ///< empty if the host did not answer

    auto operator<=>(const host_revision&) const = default;
};

/// Polls the status of entry hosts until `required_revision` or a later one is in force at all of
/// them, or until `deadline`. Blocks the calling thread.
/// @param urls base URLs of the hosts
/// @return the last answer of each host, in the order of `urls`
std::vector<host_revision> wait_for_revision(const std::vector<std::string>& urls,
                                             revision_id required_revision, time_point deadline,
                                             const clock_source& clock);

} // namespace papayafall
