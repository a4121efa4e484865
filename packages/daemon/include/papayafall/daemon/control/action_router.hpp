#pragma once

#include "papayafall/core/engine/sinks.hpp"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/registry.h>

#include <array>
#include <functional>

namespace papayafall {

/// Destinations of the actions, grouped by the component that executes them.
struct action_sinks {
    action_sink& callers;
    action_sink& targets;
    action_sink& peers;
    action_sink& platform;
    /// Called on the control thread for `stop_process`, when all work has ended.
    std::function<void()> stop;
};

/// Routes each action to the component that executes it, and counts actions by kind.
class action_router : public action_sink {
  public:
    /// @param registry registry to add the metrics to; must outlive this object
    action_router(action_sinks sinks, prometheus::Registry& registry);

    void post(action requested) override;

  private:
    void route(action requested);
    /// Counts the action if it answers the delegation of a peer with a failure.
    void count_failed_delegation(const action& requested);

    action_sinks sinks_;
    std::array<prometheus::Counter*, std::variant_size_v<action>> counters_by_kind_{};
    prometheus::Counter* failed_delegations_ = nullptr;
};

} // namespace papayafall
