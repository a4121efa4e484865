#include "papayafall/daemon/http/front_end_metrics.hpp"

#include <chrono>
#include <string>

namespace papayafall {

namespace {

/// Upper bounds of the answer-time histogram, in seconds.
const prometheus::Histogram::BucketBoundaries answer_time_bounds{
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0};

} // namespace

front_end_metrics::front_end_metrics(prometheus::Registry& registry)
    : requests_(prometheus::BuildCounter()
                    .Name("papayafall_http_requests_total")
                    .Help("Requests that callers sent, by kind.")
                    .Register(registry)),
      answers_(prometheus::BuildCounter()
                   .Name("papayafall_http_answers_total")
                   .Help("Responses to callers, by name of the error or ok.")
                   .Register(registry)),
      answer_seconds_(prometheus::BuildHistogram()
                          .Name("papayafall_http_answer_seconds")
                          .Help("Time from reading a call until its answer was written.")
                          .Register(registry)
                          .Add({}, answer_time_bounds)),
      connections_(prometheus::BuildGauge()
                       .Name("papayafall_http_connections")
                       .Help("Open connections of callers.")
                       .Register(registry)
                       .Add({})),
      rejected_connections_(prometheus::BuildCounter()
                                .Name("papayafall_http_connections_rejected_total")
                                .Help("Connections closed on arrival because there were too many.")
                                .Register(registry)
                                .Add({}))
{
}

void front_end_metrics::count_request(std::string_view kind)
{
    requests_.Add({{"kind", std::string(kind)}}).Increment();
}

void front_end_metrics::count_answer(std::string_view result)
{
    answers_.Add({{"result", std::string(result)}}).Increment();
}

void front_end_metrics::observe_answer_time(duration elapsed)
{
    answer_seconds_.Observe(std::chrono::duration<double>(elapsed).count());
}

void front_end_metrics::count_connection_opened()
{
    connections_.Increment();
}

void front_end_metrics::count_connection_closed()
{
    connections_.Decrement();
}

void front_end_metrics::count_connection_rejected()
{
    rejected_connections_.Increment();
}

} // namespace papayafall
