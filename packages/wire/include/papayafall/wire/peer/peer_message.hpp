#pragma once

#include "papayafall/core/values/answer.hpp"
#include "papayafall/core/values/change_origin.hpp"
#include "papayafall/core/values/configuration.hpp"
#include "papayafall/core/values/request.hpp"
#include "papayafall/core/values/work.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>

namespace papayafall {

/// Random number that one end of a link chooses, so that no frame is valid on another link.
using link_nonce = std::array<std::uint8_t, 16>;

/// First frame in each direction of a link.
struct hello {
    const peer_id sender;
    const zone_name zone;
    const link_nonce nonce{};

    auto operator<=>(const hello&) const = default;
};

/// Shows that the sender is alive while it has nothing else to send.
struct link_heartbeat {
    auto operator<=>(const link_heartbeat&) const = default;
};

/// A request for its home.
struct forwarded_request {
    const correlation_id correlation;
    const request content;

    auto operator<=>(const forwarded_request&) const = default;
};

/// A cancellation for the home of a submission.
struct forwarded_cancel {
    const correlation_id correlation;
    const request_key key;

    auto operator<=>(const forwarded_cancel&) const = default;
};

/// The answer to a forwarded request or cancellation.
struct forwarded_answer {
    const correlation_id correlation;
    const answer result;

    auto operator<=>(const forwarded_answer&) const = default;
};

/// A task for the targets of the receiver.
struct delegated_work {
    const exchange_id exchange; ///< the sender's number of the attempt
    const work_item work;

    auto operator<=>(const delegated_work&) const = default;
};

/// The sender does not want the result of a delegated task any more.
struct delegation_cancel {
    const exchange_id exchange;

    auto operator<=>(const delegation_cancel&) const = default;
};

/// The result of a delegated task.
struct delegation_answer {
    const exchange_id exchange;
    const task_result result;

    auto operator<=>(const delegation_answer&) const = default;
};

/// Asks for the configuration in force at the receiver.
struct configuration_request {
    auto operator<=>(const configuration_request&) const = default;
};

/// The configuration in force at the sender.
struct configuration_reply {
    const configuration content;
    const std::optional<change_origin> origin = std::nullopt; ///< where the sender knows it

    auto operator<=>(const configuration_reply&) const = default;
};

/// Everything that crosses a link. The index of an alternative is its number on the wire:
/// append new ones, and raise `peer_protocol_version` for any other change.
using peer_message = std::variant<hello, link_heartbeat, forwarded_request, forwarded_cancel,
                                  forwarded_answer, delegated_work, delegation_cancel,
                                  delegation_answer, configuration_request, configuration_reply>;

/// Number of kinds of messages on a link.
inline constexpr std::size_t peer_message_kind_count = std::variant_size_v<peer_message>;

/// Name of the kind with number `index`, as logs and metrics show it.
std::string_view peer_message_name(std::size_t index) noexcept;

} // namespace papayafall
