#pragma once

#include "papayafall/core/jobs/state/job_state.hpp"
#include "papayafall/core/jobs/values/membership.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace papayafall::jobs {

/// First message of either end of a link.
struct link_hello {
    host_name host;
    incarnation_id incarnation;

    auto operator<=>(const link_hello&) const = default;
};

/// Shows that the sender is alive.
struct link_keepalive {
    auto operator<=>(const link_keepalive&) const = default;
};

/// What the sender has room for.
struct link_load {
    load_report load;

    auto operator<=>(const link_load&) const = default;
};

/// Asks the receiver to run a job.
struct link_delegation {
    delegation_id delegation;
    job_order order;

    auto operator<=>(const link_delegation&) const = default;
};

/// The job is not wanted any more.
struct link_withdrawal {
    delegation_id delegation;

    auto operator<=>(const link_withdrawal&) const = default;
};

/// The delegated job has ended.
struct link_outcome {
    delegation_id delegation;
    job_outcome outcome = job_outcome::refused;

    auto operator<=>(const link_outcome&) const = default;
};

/// The sender has no more runs on a worker that the receiver has claimed.
struct link_release {
    worker_id worker;

    auto operator<=>(const link_release&) const = default;
};

using job_message = std::variant<link_hello, link_keepalive, link_load, link_delegation,
                                 link_withdrawal, link_outcome, link_release>;

/// Largest frame, in bytes.
inline constexpr std::size_t max_job_frame_size = std::size_t{1} << 20U;

/// Encodes a message with its size in front. Deadlines are written as time remaining at `now`.
/// @throws message_error `message_too_large` past `max_job_frame_size`
std::string encode_job_frame(const job_message& message, time_point now);

/// Size in bytes of the frame that starts `received`, or empty while that is not known.
/// @throws message_error for a size that no valid frame has
std::optional<std::size_t> job_frame_size(std::string_view received);

/// Decodes one whole frame. Remaining times become deadlines counted from `now`.
/// @throws message_error for anything but a frame of this protocol version
job_message decode_job_frame(std::string_view frame, time_point now);

} // namespace papayafall::jobs
