#pragma once

#include "papayafall/core/jobs/state/worker_state.hpp"
#include "papayafall/core/policies/policy.hpp"

namespace papayafall::jobs {

/// Decides until when a worker gets no work.
class worker_ejection_policy : public policy {
  public:
    /// Instant until which the worker is avoided, judged after its latest run.
    virtual time_point avoid_until(const worker_health& health, time_point now) const = 0;
};

/// Baseline: no worker is avoided.
class never_eject final : public worker_ejection_policy {
  public:
    time_point avoid_until(const worker_health& health, time_point now) const override;
};

/// Avoids a worker after failures or stalls in a row, for longer with each of them, and one that is
/// much slower than the others.
class eject_after_failures final : public worker_ejection_policy {
  public:
    time_point avoid_until(const worker_health& health, time_point now) const override;
};

} // namespace papayafall::jobs
