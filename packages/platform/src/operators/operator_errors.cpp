#include "papayafall/platform/operators/operator_errors.hpp"

namespace papayafall {

namespace {

std::string describe(const change_record& winner)
{
    return "revision " + std::to_string(winner->revision.value()) + " was confirmed by " +
           winner->author.text() + " with plan " + winner->plan.text();
}

} // namespace

plan_conflict::plan_conflict(const change_record& winner)
    : plan_conflict(error_id::plan_conflict, winner)
{
}

plan_conflict::plan_conflict(error_id id, const change_record& winner)
    : exception(id, describe(winner)), winner_(winner)
{
}

plan_stale::plan_stale(const change_record& winner) : plan_conflict(error_id::plan_stale, winner) {}

plan_not_found::plan_not_found(const plan_id& id)
    : exception(error_id::plan_not_found, "plan " + id.text() + " expired or was never made")
{
}

seat_layout_error::seat_layout_error()
    : configuration_error(error_id::invalid_configuration, "/zones",
                          "the layout of seats cannot change once there is one")
{
}

} // namespace papayafall
