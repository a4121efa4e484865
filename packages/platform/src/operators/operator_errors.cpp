#include "papayafall/platform/operators/operator_errors.hpp"

namespace papayafall {

namespace {

std::string describe(const change_record& conflicting_change)
{
    return "revision " + std::to_string(conflicting_change->revision.value()) +
           " was confirmed by " + conflicting_change->author.text() + " with plan " +
           conflicting_change->plan.text();
}

} // namespace

plan_conflict::plan_conflict(const change_record& conflicting_change)
    : plan_conflict(error_id::plan_conflict, conflicting_change)
{
}

plan_conflict::plan_conflict(error_id id, const change_record& conflicting_change)
    : exception(id, describe(conflicting_change)), conflicting_change_(conflicting_change)
{
}

plan_stale::plan_stale(const change_record& conflicting_change)
    : plan_conflict(error_id::plan_stale, conflicting_change)
{
}

plan_not_found::plan_not_found(const plan_id& id)
    : exception(error_id::plan_not_found, "plan " + id.text() + " expired or never existed")
{
}

seat_layout_error::seat_layout_error()
    : configuration_error(error_id::invalid_configuration, "/zones",
                          "the seat layout cannot be changed after it has been set")
{
}

} // namespace papayafall
