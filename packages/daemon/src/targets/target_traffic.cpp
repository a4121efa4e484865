#include "papayafall/daemon/targets/target_traffic.hpp"

#include "target_thread.hpp"

#include <functional>

namespace papayafall {

namespace {

/// Returns the index of the target's thread. All exchanges with a target run on the same thread,
/// which holds the connections to it.
std::size_t thread_index_of(const endpoint& address, std::size_t thread_count)
{
    return (std::hash<std::string>{}(address.address) + address.port) % thread_count;
}

} // namespace

target_traffic::target_traffic(const target_traffic_options& options, const clock_source& clock,
                               event_sink& events, prometheus::Registry& metrics)
    : metrics_(std::make_unique<detail::target_metrics>(metrics))
{
    for (std::size_t n = 0; n < options.threads; ++n) {
        threads_.push_back(
            std::make_unique<detail::target_thread>(options.http, clock, events, *metrics_));
    }
}

target_traffic::~target_traffic() = default;

void target_traffic::post(action requested)
{
    if (const auto* it = std::get_if<start_exchange>(&requested)) {
        threads_.at(thread_index_of(it->address, threads_.size()))->post(std::move(requested));
        return;
    }
    if (!std::holds_alternative<abandon_exchange>(requested)) {
        return;
    }
    for (const auto& it : threads_) {
        it->post(requested);
    }
}

} // namespace papayafall
