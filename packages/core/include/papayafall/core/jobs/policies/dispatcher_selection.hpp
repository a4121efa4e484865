#pragma once

#include "papayafall/core/jobs/values/job.hpp"
#include "papayafall/core/jobs/values/membership.hpp"
#include "papayafall/core/policies/policy.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace papayafall::jobs {

/// A host whose dispatcher may run a job.
struct dispatcher_candidate {
    host_name host;
    bool same_zone = false;              ///< as the deciding host
    load_report load;                    ///< as last reported
    std::uint32_t sent_since_report = 0; ///< number of jobs delegated to it after that report

    auto operator<=>(const dispatcher_candidate&) const = default;
};

/// Chooses the dispatcher that runs a job.
class dispatcher_selection_policy : public policy {
  public:
    /// Returns the index of the chosen candidate, or nothing if none accepts jobs.
    virtual std::optional<std::size_t>
    choose(const std::vector<dispatcher_candidate>& candidates) const = 0;
};

/// Baseline: the first accepting dispatcher, those of the host's own zone first, regardless of
/// load.
class own_zone_first final : public dispatcher_selection_policy {
  public:
    std::optional<std::size_t>
    choose(const std::vector<dispatcher_candidate>& candidates) const override;
};

/// Chooses the dispatcher with the shortest predicted wait.
class shortest_wait final : public dispatcher_selection_policy {
  public:
    /// @param zone_margin added to the predicted wait of dispatchers in other zones
    explicit shortest_wait(duration zone_margin = std::chrono::milliseconds(10));

    std::optional<std::size_t>
    choose(const std::vector<dispatcher_candidate>& candidates) const override;

  private:
    duration zone_margin_;
};

} // namespace papayafall::jobs
