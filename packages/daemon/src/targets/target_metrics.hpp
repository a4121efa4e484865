#pragma once

#include "papayafall/core/values/work.hpp"
#include "papayafall/platform/outbound/outbound_client.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <array>

namespace papayafall::detail {

/// Metrics of the exchanges with targets. All members are thread-safe.
class target_metrics {
  public:
    explicit target_metrics(prometheus::Registry& registry);

    void on_started() { in_flight_.Increment(); }

    void on_finished(const exchange_outcome& outcome);

    /// Adds the increase of a client's connection counters from `before` to `now`.
    void add_connection_counts(const outbound_counters& before, const outbound_counters& now);

  private:
    std::array<prometheus::Counter*, std::variant_size_v<exchange_outcome>> finished_by_outcome_{};
    prometheus::Gauge& in_flight_;
    prometheus::Counter& connections_opened_;
    prometheus::Counter& connections_renewed_;
};

} // namespace papayafall::detail
