#pragma once

#include "papayafall/platform/clock/clock_source.hpp"
#include "papayafall/platform/configuration/configuration_reader.hpp"
#include "papayafall/platform/operators/plan.hpp"
#include "papayafall/platform/store/key_value_store.hpp"

#include <vector>

namespace papayafall {

enum class confirmation_kind : std::uint8_t {
    confirmed,         ///< this call made the change
    already_confirmed, ///< an earlier call made it
    unchanged,         ///< the plan has no differences; there is nothing to confirm
};

/// Name of `kind`, as in the enumeration.
std::string_view to_string(confirmation_kind kind) noexcept;

struct confirmation {
    confirmation_kind kind = confirmation_kind::confirmed;
    revision_id revision; ///< revision that has the plan's change in it

    auto operator<=>(const confirmation&) const = default;
};

/// The operators' side of the configuration: plans, confirmations and the audit trail.
///
/// Calls wait in an event loop of the calling thread and throw `platform_call_error` when the
/// platform fails.
class change_log {
  public:
    /// @param store,clock outlive this object
    change_log(key_value_store& store, const clock_source& clock);

    configuration_reading read_current();

    /// Makes a plan over the configuration in force and keeps it for `plan_lifetime`.
    plan propose(const operator_name& author, const intent_document& intent,
                 const plan_observations& observations);

    /// Writes the change of a kept plan as the next revision, create-only. Confirming the same
    /// plan again is idempotent, and a lost answer is resolved by reading the record back.
    /// @param deadline failed calls are repeated until then
    /// @throws plan_conflict when another plan was confirmed at the same time
    /// @throws plan_stale when the configuration had changed before
    /// @throws plan_not_found when the plan is not kept
    confirmation confirm(const plan_id& id, const operator_name& author, time_point deadline);

    /// The latest confirmed changes, the newest first.
    /// Calls: one for each block of `keys::changes_per_block` records that is needed.
    std::vector<change_record> history(std::size_t limit);

    /// Time for which a plan can be confirmed.
    static constexpr std::chrono::hours plan_lifetime{24};

  private:
    void store_pending_plan(const plan& made, const operator_name& author);
    void remove_expired_plans();
    confirmation confirm_once(const plan_id& id, const operator_name& author);
    confirmation confirm_pending(const pending_plan& pending, const operator_name& author);
    std::optional<pending_plan> find_pending(const plan_id& id);
    std::optional<change_record> find_change(revision_id revision);
    confirmation find_confirmed(const plan_id& id);
    confirmation check_next_change(const pending_plan& pending);
    confirmation write(const change_record& record);
    confirmation resolve_refused_write(const change_record& record);
    void update_snapshot(const configuration_reading& before, const configuration& content);

    key_value_store& store_;
    const clock_source& clock_;
};

} // namespace papayafall
