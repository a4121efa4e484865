#pragma once

#include "papayafall/core/values/time.hpp"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <string_view>

namespace papayafall {

/// Metrics of the callers' front end; every member may be called from any thread.
class front_end_metrics {
  public:
    /// @param registry where the metrics are registered; must outlive this object
    explicit front_end_metrics(prometheus::Registry& registry);

    /// Counts a request of `kind`, the short name of its path.
    void count_request(std::string_view kind);

    /// Counts a response: `result` is the name of an error, or "ok".
    void count_answer(std::string_view result);

    /// Records the time from reading a call until its answer was written.
    void observe_answer_time(duration elapsed);

    void count_connection_opened();
    void count_connection_closed();

    /// Counts a connection that was closed on arrival because there were too many.
    void count_connection_rejected();

  private:
    prometheus::Family<prometheus::Counter>& requests_;
    prometheus::Family<prometheus::Counter>& answers_;
    prometheus::Histogram& answer_seconds_;
    prometheus::Gauge& connections_;
    prometheus::Counter& rejected_;
};

} // namespace papayafall
