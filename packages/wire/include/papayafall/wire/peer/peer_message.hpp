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

/// Random number chosen by one end of a link, so that its frames are not valid on another link.
using link_nonce = std::array<std::uint8_t, 16>;

/// First message in each direction of a link: identifies the sender.
struct hello {
    const peer_id sender;
    const zone_name zone;
    const link_nonce nonce{};

    auto operator<=>(const hello&) const = default;
};

/// Keep-alive message, sent while the sender has nothing else to send.
struct link_heartbeat {
    auto operator<=>(const link_heartbeat&) const = default;
};

/// Request forwarded to its home, the host that decides on it.
struct forwarded_request {
    const correlation_id correlation;
    const request content;

    auto operator<=>(const forwarded_request&) const = default;
};

/// Cancellation forwarded to the home of the submission.
struct forwarded_cancel {
    const correlation_id correlation;
    const request_key key;

    auto operator<=>(const forwarded_cancel&) const = default;
};

/// Answer to a forwarded request or cancellation.
struct forwarded_answer {
    const correlation_id correlation;
    const answer result;

    auto operator<=>(const forwarded_answer&) const = default;
};

/// Task that the receiver runs on its own targets.
struct delegated_work {
    const exchange_id exchange; ///< number that the sender gave to the attempt
    const work_item work;

    auto operator<=>(const delegated_work&) const = default;
};

/// Cancels a delegated task whose result is no longer needed.
struct delegation_cancel {
    const exchange_id exchange;

    auto operator<=>(const delegation_cancel&) const = default;
};

/// Result of a delegated task.
struct delegation_answer {
    const exchange_id exchange;
    const task_result result;

    auto operator<=>(const delegation_answer&) const = default;
};

/// Requests the configuration in force on the receiver.
struct configuration_request {
    auto operator<=>(const configuration_request&) const = default;
};

/// Configuration in force on the sender.
struct configuration_reply {
    const configuration content;
    /// Change that set it, if the sender knows it.
    const std::optional<change_origin> origin = std::nullopt;

    auto operator<=>(const configuration_reply&) const = default;
};

/// Any message on a link. The index of an alternative is its number on the wire: append new
/// alternatives, and increase `peer_protocol_version` for any other change.
using peer_message = std::variant<hello, link_heartbeat, forwarded_request, forwarded_cancel,
                                  forwarded_answer, delegated_work, delegation_cancel,
                                  delegation_answer, configuration_request, configuration_reply>;

/// Number of message kinds on a link.
inline constexpr std::size_t peer_message_kind_count = std::variant_size_v<peer_message>;

/// Returns the name of message kind `index` in logs and metrics, or "unknown".
std::string_view peer_message_name(std::size_t index) noexcept;

} // namespace papayafall
