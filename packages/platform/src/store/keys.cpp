#include "papayafall/platform/store/keys.hpp"

namespace papayafall::keys {

namespace {

constexpr std::size_t revision_digits = 10;
constexpr std::size_t block_digits =
    8; // the two omitted digits give changes_per_block = 100 revisions

std::string padded(revision_id revision)
{
    const std::string digits = std::to_string(revision.value());
    const std::size_t missing = revision_digits - std::min(revision_digits, digits.size());
    return std::string(missing, '0') + digits;
}

} // namespace

std::string change(revision_id revision)
{
    return all_changes() + padded(revision);
}

std::string change_block(revision_id revision)
{
    return all_changes() + padded(revision).substr(0, block_digits);
}

std::string all_changes()
{
    return "papayafall/configuration/changes/";
}

std::string snapshot()
{
    return "papayafall/configuration/snapshot";
}

std::string pending_plan(const plan_id& plan)
{
    return all_pending_plans() + plan.text();
}

std::string all_pending_plans()
{
    return "papayafall/configuration/plans/";
}

std::string seat(const seat_id& seat)
{
    return "papayafall/seats/" + seat.zone.text() + "/" + std::to_string(seat.number);
}

std::string listed_entry_hosts()
{
    return "hosts/entry/";
}

std::string all_listed_targets()
{
    return "hosts/targets/";
}

std::string listed_targets(const zone_name& zone)
{
    return all_listed_targets() + zone.text() + "/";
}

} // namespace papayafall::keys
