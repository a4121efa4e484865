#include "target_metrics.hpp"

namespace papayafall::detail {

namespace {

/// Label values, in the order of the alternatives of `exchange_outcome`.
constexpr std::array<const char*, std::variant_size_v<exchange_outcome>> outcome_labels{
    "answered", "refused", "not_sent", "connection_lost", "no_answer", "failed"};

} // namespace

target_metrics::target_metrics(prometheus::Registry& registry)
    : in_flight_(prometheus::BuildGauge()
                     .Name("papayafall_target_exchanges_in_flight")
                     .Help("Exchanges with targets in progress")
                     .Register(registry)
                     .Add({})),
      connections_opened_(prometheus::BuildCounter()
                              .Name("papayafall_target_connections_opened_total")
                              .Help("Connections to targets taken into use")
                              .Register(registry)
                              .Add({})),
      connections_renewed_(prometheus::BuildCounter()
                               .Name("papayafall_target_connections_renewed_total")
                               .Help("Exchanges whose connection was given up as silent")
                               .Register(registry)
                               .Add({}))
{
    auto& family = prometheus::BuildCounter()
                       .Name("papayafall_target_exchanges_total")
                       .Help("Exchanges with targets by how they ended")
                       .Register(registry);
    for (std::size_t n = 0; n < outcome_labels.size(); ++n) {
        finished_by_outcome_.at(n) = &family.Add({{"outcome", outcome_labels.at(n)}});
    }
}

void target_metrics::on_finished(const exchange_outcome& outcome)
{
    in_flight_.Decrement();
    finished_by_outcome_.at(outcome.index())->Increment();
}

void target_metrics::add_connection_counts(const outbound_counters& before,
                                           const outbound_counters& now)
{
    connections_opened_.Increment(
        static_cast<double>(now.connections_opened - before.connections_opened));
    connections_renewed_.Increment(
        static_cast<double>(now.connections_renewed - before.connections_renewed));
}

} // namespace papayafall::detail
