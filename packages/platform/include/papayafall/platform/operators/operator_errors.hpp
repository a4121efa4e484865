#pragma once

#include "papayafall/core/errors/exception.hpp"
#include "papayafall/wire/configuration/change_record.hpp"

namespace papayafall {

/// Another plan was confirmed as the revision that this plan would have created.
class plan_conflict : public exception {
  public:
    explicit plan_conflict(const change_record& conflicting_change);

    /// The change that was confirmed first.
    const change_record& conflicting_change() const noexcept { return conflicting_change_; }

  protected:
    plan_conflict(error_id id, const change_record& conflicting_change);

  private:
    change_record conflicting_change_;
};

/// The plan's base revision was no longer in force when the plan was to be confirmed.
class plan_stale : public plan_conflict {
  public:
    explicit plan_stale(const change_record& conflicting_change);
};

/// No plan has this identifier: it expired or never existed.
class plan_not_found : public exception {
  public:
    explicit plan_not_found(const plan_id& id);
};

/// The intent changes the seat layout, which determines the seat that each caller's key maps to.
class seat_layout_error : public configuration_error {
  public:
    seat_layout_error();
};

} // namespace papayafall
