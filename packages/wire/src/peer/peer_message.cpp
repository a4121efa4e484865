#include "papayafall/wire/peer/peer_message.hpp"

namespace papayafall {

namespace {

constexpr std::array<std::string_view, peer_message_kinds> names = {
    "hello",
    "link_heartbeat",
    "forwarded_request",
    "forwarded_cancel",
    "forwarded_answer",
    "delegated_work",
    "delegation_cancel",
    "delegation_answer",
    "configuration_request",
    "configuration_reply",
};

} // namespace

std::string_view peer_message_name(std::size_t index) noexcept
{
    return index < names.size() ? names[index] : "unknown";
}

} // namespace papayafall
