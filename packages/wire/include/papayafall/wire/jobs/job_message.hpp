#pragma once

#include "papayafall/core/jobs/state/job_state.hpp"
#include "papayafall/core/jobs/values/job_cancellation.hpp"
#include "papayafall/core/jobs/values/job_refusal.hpp"
#include "papayafall/core/jobs/values/membership.hpp"
#include "papayafall/core/jobs/values/queue_configuration.hpp"
#include "papayafall/core/jobs/values/zone_evacuation.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace papayafall::jobs {

/// First message in each direction of a link: identifies the sender.
struct link_hello {
    host_name host;
    incarnation_id incarnation;

    auto operator<=>(const link_hello&) const = default;
};

/// Keep-alive message.
struct link_keepalive {
    auto operator<=>(const link_keepalive&) const = default;
};

/// Reports the load and the free capacity of the sender.
struct link_load {
    load_report load;

    auto operator<=>(const link_load&) const = default;
};

/// Delegates a job to the receiver.
struct link_delegation {
    delegation_id delegation;
    job_order order;

    auto operator<=>(const link_delegation&) const = default;
};

/// Withdraws a delegated job whose outcome is no longer needed.
struct link_withdrawal {
    delegation_id delegation;

    auto operator<=>(const link_withdrawal&) const = default;
};

/// Reports how a delegated job ended.
struct link_outcome {
    delegation_id delegation;
    job_outcome outcome = job_outcome::refused;
    job_refusal refusal; ///< for outcome `refused`

    auto operator<=>(const link_outcome&) const = default;
};

/// Confirms that the sender has no runs left on a worker that the receiver has claimed.
struct link_release {
    worker_id worker;

    auto operator<=>(const link_release&) const = default;
};

/// Tells which version of the configuration is in force at the sender.
struct link_configuration_version {
    std::uint64_t version = 0;

    auto operator<=>(const link_configuration_version&) const = default;
};

/// Asks for the configuration that is in force at the receiver.
struct link_configuration_request {
    auto operator<=>(const link_configuration_request&) const = default;
};

/// The configuration that is in force at the sender.
struct link_configuration {
    queue_configuration configuration;

    auto operator<=>(const link_configuration&) const = default;
};

/// Tells how many workers crashed while they ran a task.
struct link_task_crashes {
    task_id task;
    std::uint32_t crashes = 0;

    auto operator<=>(const link_task_crashes&) const = default;
};

/// Tells that a job was cancelled.
struct link_cancellation {
    job_cancellation cancellation;

    auto operator<=>(const link_cancellation&) const = default;
};

/// Tells that a job was cancelled, and asks whether the receiver had it open.
struct link_cancellation_request {
    job_cancellation cancellation;

    auto operator<=>(const link_cancellation_request&) const = default;
};

/// Answers a `link_cancellation_request`.
struct link_cancellation_answer {
    job_id job;
    bool found = false; ///< the sender had the job open, or knows of a host that had

    auto operator<=>(const link_cancellation_answer&) const = default;
};

/// Tells of a request to evacuate a zone, or of its end.
struct link_evacuation {
    zone_evacuation request;

    auto operator<=>(const link_evacuation&) const = default;
};

/// Any message between dispatchers on a job link. The index of an alternative is its number on the
/// wire.
using job_message =
    std::variant<link_hello, link_keepalive, link_load, link_delegation, link_withdrawal,
                 link_outcome, link_release, link_configuration_version, link_configuration_request,
                 link_configuration, link_task_crashes, link_cancellation,
                 link_cancellation_request, link_cancellation_answer, link_evacuation>;

/// Maximum frame size in bytes, including the size field.
inline constexpr std::size_t max_job_frame_size = std::size_t{1} << 20U;

/// Encodes one message as a frame. Deadlines are written as the time remaining at `now`.
/// @throws message_error (`message_too_large`) if the frame would exceed `max_job_frame_size`
std::string encode_job_frame(const job_message& message, time_point now);

/// Returns the size in bytes of the frame at the start of `received`, or empty while its size
/// field is incomplete.
/// @throws message_error if the size is too small for a frame or exceeds `max_job_frame_size`
std::optional<std::size_t> job_frame_size(std::string_view received);

/// Decodes one complete frame. Remaining times become deadlines relative to `now`.
/// @throws message_error if `frame` is not a valid frame of this protocol version
job_message decode_job_frame(std::string_view frame, time_point now);

} // namespace papayafall::jobs
