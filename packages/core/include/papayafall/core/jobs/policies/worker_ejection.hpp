#pragma once

#include "papayafall/core/jobs/state/worker_state.hpp"
#include "papayafall/core/policies/policy.hpp"

namespace papayafall::jobs {

/// Decides how long a worker is avoided when runs are placed.
class worker_ejection_policy : public policy {
  public:
    /// Returns the instant until which the worker is avoided; `now` or earlier: it is not
    /// avoided.
    ///
    /// @param health health of the worker after its latest run
    virtual time_point avoid_until(const worker_health& health, time_point now) const = 0;
};

/// Baseline: avoids no worker.
class never_eject final : public worker_ejection_policy {
  public:
    time_point avoid_until(const worker_health& health, time_point now) const override;
};

/// Avoids a worker after consecutive failures or stalls, twice as long with each further one up to
/// a limit, and a worker that is much slower than the others.
class eject_after_failures final : public worker_ejection_policy {
  public:
    time_point avoid_until(const worker_health& health, time_point now) const override;
};

} // namespace papayafall::jobs
