#pragma once

#include "papayafall/platform/clock/clock_source.hpp"
#include "papayafall/platform/configuration/configuration_reader.hpp"
#include "papayafall/platform/operators/plan.hpp"
#include "papayafall/platform/store/key_value_store.hpp"

#include <vector>

namespace papayafall {

enum class confirmation_kind : std::uint8_t {
    confirmed,         ///< this call applied the change
    already_confirmed, ///< an earlier call applied it
    unchanged,         ///< the plan has no differences; there is nothing to confirm
};

/// Returns the name of the enumerator.
std::string_view to_string(confirmation_kind kind) noexcept;

struct confirmation {
    confirmation_kind kind = confirmation_kind::confirmed;
    revision_id revision; ///< revision that includes the plan's change

    auto operator<=>(const confirmation&) const = default;
};

/// Configuration changes by operators: plans, confirmations and the audit log.
///
/// Functions block in an event loop of the calling thread and throw `platform_call_error` if a call
/// to the platform fails.
class change_log {
  public:
    /// @param store,clock must outlive this object
    change_log(key_value_store& store, const clock_source& clock);

    configuration_reading read_current();

    /// Makes a plan against the configuration in force and stores it for `plan_lifetime`.
    plan propose(const operator_name& author, const intent_document& intent,
                 const plan_observations& observations);

    /// Applies a stored plan as the next revision with a create-only write. Confirming the same
    /// plan again is idempotent, and a lost response is resolved by reading the record back.
    /// @param deadline failed calls are retried until then
    /// @throws plan_conflict if another plan was confirmed concurrently
    /// @throws plan_stale if the configuration has changed since the plan was made
    /// @throws plan_not_found if the plan has expired or does not exist
    confirmation confirm(const plan_id& id, const operator_name& author, time_point deadline);

    /// Returns the latest confirmed changes, newest first. Makes one call for each block of
    /// `keys::changes_per_block` records that is needed.
    std::vector<change_record> history(std::size_t limit);

    /// Time within which a plan can be confirmed.
    static constexpr std::chrono::hours plan_lifetime{24};

  private:
    void store_pending_plan(const plan& proposed, const operator_name& author);
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
