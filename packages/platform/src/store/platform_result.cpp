#include "papayafall/platform/store/platform_result.hpp"

namespace papayafall {

std::string_view to_string(write_effect effect) noexcept
{
    return effect == write_effect::not_applied ? "not_applied" : "may_have_been_applied";
}

platform_call_error::platform_call_error(const platform_failure& failure)
    : platform_error(failure.id,
                     failure.detail + " (" + std::string(to_string(failure.effect)) + ")"),
      effect_(failure.effect)
{
}

} // namespace papayafall
