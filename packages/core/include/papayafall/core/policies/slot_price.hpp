#pragma once

#include "papayafall/core/values/configuration.hpp"

#include <cstdint>

namespace papayafall {

/// Returns the price of using one slot for `run_time`, in millionths of the operators' currency.
inline std::uint64_t price_of(const service_configuration& service, duration run_time)
{
    constexpr std::uint64_t microseconds_per_second = 1'000'000;
    const auto run_time_us = static_cast<std::uint64_t>(run_time.count());
    return run_time_us * service.price_per_slot_second_millionths / microseconds_per_second;
}

} // namespace papayafall
