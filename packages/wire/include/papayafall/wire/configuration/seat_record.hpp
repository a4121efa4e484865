#pragma once

#include "papayafall/core/values/identifiers.hpp"
#include "papayafall/core/values/time.hpp"

#include <compare>
#include <optional>
#include <string>
#include <string_view>

namespace papayafall {

/// What the platform's service keeps under a seat's key.
struct seat_record {
    host_name holder;
    zone_name zone;
    incarnation_id incarnation;
    wall_time claimed_at{}; ///< when the claim was sent

    auto operator<=>(const seat_record&) const = default;
};

std::string encode_seat_record(const seat_record& record);

/// @throws configuration_error with the JSON pointer of the first fault
seat_record decode_seat_record(std::string_view text);

} // namespace papayafall
