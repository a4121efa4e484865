#pragma once

#include "papayafall/core/jobs/values/job.hpp"
#include "papayafall/core/jobs/values/membership.hpp"
#include "papayafall/core/policies/policy.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace papayafall::jobs {

/// A host that could run a job.
struct dispatcher_candidate {
    host_name host;
    bool same_zone = false;
    load_report load;
    std::uint32_t sent_since_report = 0; ///< jobs sent there after the report

    auto operator<=>(const dispatcher_candidate&) const = default;
};

/// Chooses the dispatcher for a job.
class dispatcher_selection_policy : public policy {
  public:
    /// Index of the chosen candidate, or empty where none takes the job.
    virtual std::optional<std::size_t>
    choose(const std::vector<dispatcher_candidate>& candidates) const = 0;
};

/// Baseline: a dispatcher of the own zone, whatever its load.
class own_zone_first final : public dispatcher_selection_policy {
  public:
    std::optional<std::size_t>
    choose(const std::vector<dispatcher_candidate>& candidates) const override;
};

/// The dispatcher with the shortest predicted wait; another zone has to be better by a margin.
class shortest_wait final : public dispatcher_selection_policy {
  public:
    explicit shortest_wait(duration zone_margin = std::chrono::milliseconds(10));

    std::optional<std::size_t>
    choose(const std::vector<dispatcher_candidate>& candidates) const override;

  private:
    duration zone_margin_;
};

} // namespace papayafall::jobs
