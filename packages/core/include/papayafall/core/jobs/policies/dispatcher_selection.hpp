#pragma once

#include "papayafall/core/jobs/values/job.hpp"
#include "papayafall/core/jobs/values/membership.hpp"
#include "papayafall/core/policies/policy.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace papayafall::jobs {

/// A host whose dispatcher may run a job.
struct dispatcher_candidate {
    host_name host;
    bool same_zone = false;           ///< as the deciding host
    load_report load;                 ///< as last reported
    time_point reported_at{};         ///< when the load was reported
    std::int64_t sent_cpu_millis = 0; ///< demand of the jobs delegated to it after that report

    auto operator<=>(const dispatcher_candidate&) const = default;
};

/// A job for which a dispatcher is chosen, as far as the choice depends on it.
struct dispatch_demand {
    job_id job;
    std::int64_t cpu_millis = 0; ///< of one task of its largest step, in thousandths of a core
    std::uint32_t tasks = 0;     ///< of that step

    auto operator<=>(const dispatch_demand&) const = default;
};

/// Demand of a job: its step with the largest sum of CPU.
dispatch_demand demand_of(const job_spec_fields& job);

/// Number of tasks of the demand's size that the dispatcher can start now: the reported places
/// without those taken by jobs that were sent since. An aged report counts for less; from
/// `load_report_lifetime` on for nothing. If the report tells no places, the sum of the free cores
/// stands in.
std::uint32_t free_places(const dispatcher_candidate& it, const dispatch_demand& demand,
                          time_point now);

/// Age from which the places of a load report are no longer relied on.
inline constexpr duration load_report_lifetime = std::chrono::seconds(1);

/// Chooses the dispatcher that runs a job.
class dispatcher_selection_policy : public policy {
  public:
    /// Returns the index of the chosen candidate, or nothing if none accepts jobs.
    virtual std::optional<std::size_t> choose(const dispatch_demand& demand,
                                              const std::vector<dispatcher_candidate>& candidates,
                                              time_point now) const = 0;
};

/// Baseline: the first accepting dispatcher, those of the host's own zone first, regardless of
/// load.
class own_zone_first final : public dispatcher_selection_policy {
  public:
    std::optional<std::size_t> choose(const dispatch_demand& demand,
                                      const std::vector<dispatcher_candidate>& candidates,
                                      time_point now) const override;
};

/// Chooses among the dispatchers with about the shortest expected wait.
///
/// All hosts know about the same loads. If each chose the best dispatcher, all jobs of a report
/// period would go there, so a hash of the job spreads them, in proportion to the free places. A
/// zone that has none left keeps a part of its jobs, in proportion to what it runs at a time.
class shortest_wait final : public dispatcher_selection_policy {
  public:
    /// @param zone_margin added to the expected wait of dispatchers in other zones
    /// @param spread      largest difference in expected wait from the best that is disregarded
    explicit shortest_wait(duration zone_margin = std::chrono::milliseconds(10),
                           duration spread = std::chrono::milliseconds(5));

    std::optional<std::size_t> choose(const dispatch_demand& demand,
                                      const std::vector<dispatcher_candidate>& candidates,
                                      time_point now) const override;

  private:
    duration zone_margin_;
    duration spread_;
};

} // namespace papayafall::jobs
