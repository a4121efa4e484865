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

/// Metrics of the HTTP front end. All members are thread-safe.
class front_end_metrics {
  public:
    /// @param registry registry to add the metrics to; must outlive this object
    explicit front_end_metrics(prometheus::Registry& registry);

    /// Counts a request.
    /// @param kind label value: job, request, cancel, tickets, page, or refused if undecodable
    void count_request(std::string_view kind);

    /// Counts a response.
    /// @param result label value: the name of an error, or "ok"
    void count_answer(std::string_view result);

    /// Records the time from receiving a call until its answer arrived from the core.
    void observe_answer_time(duration elapsed);

    void count_connection_opened();
    void count_connection_closed();

    /// Counts a connection that was closed on accept because of the connection limit.
    void count_connection_rejected();

  private:
    prometheus::Family<prometheus::Counter>& requests_;
    prometheus::Family<prometheus::Counter>& answers_;
    prometheus::Histogram& answer_seconds_;
    prometheus::Gauge& connections_;
    prometheus::Counter& rejected_connections_;
};

} // namespace papayafall
