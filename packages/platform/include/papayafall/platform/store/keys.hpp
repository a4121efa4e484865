#pragma once

#include "papayafall/core/values/host.hpp"
#include "papayafall/core/values/identifiers.hpp"
#include "papayafall/wire/configuration/change_record.hpp"

#include <string>

/// Keys of the project in the platform's service.
namespace papayafall::keys {

/// Change record of one revision.
std::string change(revision_id revision);

/// Number of revisions whose change records share one prefix.
inline constexpr std::uint64_t changes_per_block = 100;

/// Prefix shared by the change records of the block that contains `revision`.
std::string change_block(revision_id revision);

/// Prefix of every change record.
std::string all_changes();

/// Configuration at a past revision, from which the later change records are replayed.
std::string snapshot();

/// A plan that waits for its confirmation.
std::string pending_plan(const plan_id& plan);

/// Prefix of every pending plan.
std::string all_pending_plans();

/// Lock and record of a seat.
std::string seat(const seat_id& seat);

/// Prefix of the entry hosts that the platform lists, of all zones.
std::string listed_entry_hosts();

/// Prefix of the targets of all zones that the platform lists.
std::string all_listed_targets();

/// Prefix of the targets of one zone that the platform lists.
std::string listed_targets(const zone_name& zone);

} // namespace papayafall::keys
