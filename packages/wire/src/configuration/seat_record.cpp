#include "papayafall/wire/configuration/seat_record.hpp"

#include "papayafall/wire/configuration/json_reader.hpp"

namespace papayafall {

std::string encode_seat_record(const seat_record& record)
{
    const nlohmann::json out{
        {"holder", record.holder.text()},
        {"zone", record.zone.text()},
        {"incarnation", record.incarnation.value()},
        {"claimed_at_ms", static_cast<std::uint64_t>(record.claimed_at.time_since_epoch().count())},
    };
    return out.dump();
}

seat_record decode_seat_record(std::string_view text)
{
    const nlohmann::json document = parse_json(text);
    json_reader in(document, "");
    seat_record out;
    out.holder = host_name(in.text("holder"));
    out.zone = zone_name(in.text("zone"));
    out.incarnation = incarnation_id(in.number("incarnation", 0, UINT64_MAX));
    // Range of the 48-bit time of a UUIDv7.
    constexpr std::uint64_t max_unix_time_ms = std::uint64_t{1} << 48;
    out.claimed_at =
        wall_time(std::chrono::milliseconds(in.number("claimed_at_ms", 0, max_unix_time_ms)));
    in.reject_unknown_keys();
    return out;
}

} // namespace papayafall
