#pragma once

#include "papayafall/core/values/identifiers.hpp"
#include "papayafall/core/values/time.hpp"

#include <compare>
#include <optional>
#include <string>
#include <string_view>

namespace papayafall {

/// Value that the platform stores under the key of a seat: its holder and the time of the claim.
struct seat_record {
    host_name holder;
    zone_name zone;
    incarnation_id incarnation;
    wall_time claimed_at{}; ///< wall time at which the holder sent the claim

    auto operator<=>(const seat_record&) const = default;
};

std::string encode_seat_record(const seat_record& record);

/// @throws configuration_error with the JSON pointer of the first error
seat_record decode_seat_record(std::string_view text);

} // namespace papayafall
