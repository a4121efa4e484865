#pragma once

#include "papayafall/core/errors/exception.hpp"
#include "papayafall/wire/configuration/change_record.hpp"

namespace papayafall {

/// Another plan was confirmed for the revision that this plan would have made.
class plan_conflict : public exception {
  public:
    explicit plan_conflict(const change_record& conflicting_change);

    /// The change that came first.
    const change_record& conflicting_change() const noexcept { return conflicting_change_; }

  protected:
    plan_conflict(error_id id, const change_record& conflicting_change);

  private:
    change_record conflicting_change_;
};

/// The plan was made on a revision that was no longer in force when it was to be confirmed.
class plan_stale : public plan_conflict {
  public:
    explicit plan_stale(const change_record& conflicting_change);
};

/// No plan of this identity is known; it expired or was never made.
class plan_not_found : public exception {
  public:
    explicit plan_not_found(const plan_id& id);
};

/// An intent changes the layout of seats, by which callers' keys are mapped to their homes.
class seat_layout_error : public configuration_error {
  public:
    seat_layout_error();
};

} // namespace papayafall
