#pragma once

#include "papayafall/core/values/configuration.hpp"
#include "papayafall/platform/store/key_value_store.hpp"
#include "papayafall/wire/configuration/change_record.hpp"

#include <optional>

namespace papayafall {

/// The configuration in force as the platform holds it.
struct configuration_reading {
    configuration content;
    /// The change record of the revision; empty where the snapshot is at it.
    std::optional<change_record> last_change;
    revision_id snapshot_revision;
    /// Position of the snapshot's key; 0 where there is none.
    modify_index snapshot_index;

    auto operator<=>(const configuration_reading&) const = default;
};

/// Applies the record of the next revision to `base`.
/// @throws configuration_error when the record does not follow `base` or its result is not valid
configuration apply_change(const configuration& base, const change_record& record);

/// Reads the snapshot and replays the change records after it.
/// Calls: one for the snapshot, one for each block of `keys::changes_per_block` records.
/// @param store outlives the reading
void read_configuration(key_value_store& store, platform_reply<configuration_reading> reply);

} // namespace papayafall
