#pragma once

#include "papayafall/core/values/configuration.hpp"
#include "papayafall/platform/store/key_value_store.hpp"
#include "papayafall/wire/configuration/change_record.hpp"

#include <optional>

namespace papayafall {

/// Configuration in force, with the position of the snapshot that it was read from.
struct configuration_reading {
    configuration content;
    /// Change record of the current revision; empty if the snapshot is at that revision.
    std::optional<change_record> last_change;
    revision_id snapshot_revision;
    /// Modify index of the snapshot's key; 0 if there is no snapshot.
    modify_index snapshot_index;

    auto operator<=>(const configuration_reading&) const = default;
};

/// Applies the change record of the next revision to `base`.
/// @throws configuration_error if the record is not for the revision after `base` or the
///         resulting configuration is invalid
configuration apply_change(const configuration& base, const change_record& record);

/// Reads the snapshot and applies the change records that follow it. Makes one call for the
/// snapshot and one for each block of `keys::changes_per_block` records.
/// @param store must outlive the call
void read_configuration(key_value_store& store, platform_reply<configuration_reading> reply);

} // namespace papayafall
