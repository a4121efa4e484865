#pragma once

#include "papayafall/cli/load/load_sample.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace papayafall {

/// Mean and exact quantiles of a set of times.
struct load_quantiles {
    std::uint64_t count = 0;
    duration mean{};
    duration p50{};
    duration p99{};
    duration p999{};
    duration max{};

    auto operator<=>(const load_quantiles&) const = default;
};

/// Quantiles of `times` by nearest rank; all zero for none. Complexity: that of a sort.
load_quantiles make_quantiles(std::vector<duration> times);

/// One group of sendings: all, or those of one class, urgency or phase.
struct load_group {
    std::string name;
    std::uint64_t count = 0;
    std::map<load_outcome, std::uint64_t> outcomes;
    duration offered_work{};       ///< sum of the run times of all tasks
    duration useful_work{};        ///< as above, of the requests that were answered in time
    load_quantiles response_times; ///< of whole answers
    /// Response time beyond the longest run time of a task and one round trip; of whole answers.
    load_quantiles excess;
    double response_ratio_p50 = 0; ///< response time over the ideal; of whole answers
    double response_ratio_p99 = 0;
    double response_ratio_p999 = 0;

    auto operator<=>(const load_group&) const = default;
};

/// Result of a load run.
struct load_summary {
    duration round_trip{};
    std::uint64_t tasks = 0;
    std::vector<load_group> groups; ///< first sendings; the first group is all of them
    load_group resubmissions;
    load_group cancellations;
    load_quantiles send_lag; ///< how late the run itself sent

    auto operator<=>(const load_summary&) const = default;
};

/// Complexity: that of a sort of the samples, for each group.
load_summary summarise(const std::vector<load_sample>& samples, duration round_trip);

/// Stable lower-case name of `outcome`.
std::string_view to_string(load_outcome outcome) noexcept;

/// The summary as JSON; times in milliseconds.
std::string encode_summary(const load_summary& summary);

/// The summary as a table of fixed columns.
std::string format_summary(const load_summary& summary);

} // namespace papayafall
