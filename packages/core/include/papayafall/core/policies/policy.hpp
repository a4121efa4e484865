#pragma once

namespace papayafall {

/// Base of the exchangeable decisions. A policy has no state besides its constant options: all
/// that it knows is on the blackboard, so that the same blackboard gives the same decision.
class policy {
  public:
    policy(const policy&) = delete;
    policy& operator=(const policy&) = delete;
    virtual ~policy() = default;

  protected:
    policy() = default;
};

} // namespace papayafall
