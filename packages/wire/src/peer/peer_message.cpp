#include "papayafall/wire/peer/peer_message.hpp"

namespace papayafall {

namespace {

constexpr std::array<std::string_view, peer_message_kind_count> message_names = {
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
    return index < message_names.size() ? message_names[index] : "unknown";
}

} // namespace papayafall
