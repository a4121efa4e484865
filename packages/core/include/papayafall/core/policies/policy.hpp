#pragma once

namespace papayafall {

/// Base class of the interchangeable decisions. A policy has no state apart from its constant
/// options. All its input is on the blackboard, so that equal blackboards give equal decisions.
class policy {
  public:
    policy(const policy&) = delete;
    policy& operator=(const policy&) = delete;
    virtual ~policy() = default;

  protected:
    policy() = default;
};

} // namespace papayafall
