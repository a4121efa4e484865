#pragma once

#include "papayafall/core/values/host.hpp"
#include "papayafall/core/values/identifiers.hpp"
#include "papayafall/wire/configuration/change_record.hpp"

#include <string>

/// Keys of this project in the platform's key-value service.
namespace papayafall::keys {

/// Change record of one revision.
std::string change(revision_id revision);

/// Number of revisions whose change records share one prefix.
inline constexpr std::uint64_t changes_per_block = 100;

/// Prefix shared by the change records of the block that contains `revision`.
std::string change_block(revision_id revision);

/// Prefix of all change records.
std::string all_changes();

/// Configuration at a past revision, to which the later change records are applied.
std::string snapshot();

/// Plan that has not been confirmed yet.
std::string pending_plan(const plan_id& plan);

/// Prefix of all pending plans.
std::string all_pending_plans();

/// Key that holds the lock and the record of a seat.
std::string seat(const seat_id& seat);

/// Prefix of the entry hosts of all zones.
std::string listed_entry_hosts();

/// Prefix of the targets of all zones.
std::string all_listed_targets();

/// Prefix of the targets of one zone.
std::string listed_targets(const zone_name& zone);

} // namespace papayafall::keys
