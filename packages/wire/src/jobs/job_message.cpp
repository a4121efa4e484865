#include "papayafall/wire/jobs/job_message.hpp"

#include "../peer/fields.hpp"

#include <cstring>

namespace papayafall::detail {

using namespace papayafall::jobs;

/// Maximum number of queues, and of services, in a configuration.
constexpr std::size_t max_configuration_entries = 65'536;

template <typename Archive>
void serialize(Archive& archive, resources& it)
{
    auto& [cpu_millis, memory_mb, accelerators] = it;
    archive(cpu_millis, memory_mb, accelerators);
}

template <typename Archive>
void serialize(Archive& archive, job_step& it)
{
    auto& [count, need, estimated_run_time, predecessors, required_label, preferred_rack,
           max_per_worker, speculative, gang] = it;
    archive(count, need, estimated_run_time, bounded(predecessors), required_label, preferred_rack,
            max_per_worker, speculative, gang);
}

template <typename Archive>
void serialize(Archive& archive, job_options& it)
{
    auto& [best_effort, long_running, repetitions] = it;
    archive(best_effort, long_running, repetitions);
}

template <typename Archive>
void serialize(Archive& archive, job_spec_fields& it)
{
    auto& [id, payload, steps, options] = it;
    archive(id, payload, bounded(steps), options);
}

template <typename Archive>
void serialize(Archive& archive, job_order_fields& it)
{
    auto& [job, queue, service, configuration_version, max_attempts, priority, received_at,
           objective_deadline, expires_at] = it;
    archive(job, queue, service, configuration_version, max_attempts, priority, received_at,
            objective_deadline, expires_at);
}

template <typename Archive>
void serialize(Archive& archive, place_counts& it)
{
    for (std::uint32_t& n : it.free) {
        archive(n);
    }
}

template <typename Archive>
void serialize(Archive& archive, load_report& it)
{
    auto& [accepting, free_cpu_millis, total_cpu_millis, predicted_wait, places] = it;
    archive(accepting, free_cpu_millis, total_cpu_millis, predicted_wait, places);
}

template <typename Archive>
void serialize(Archive& archive, job_refusal& it)
{
    auto& [reason, retry_at] = it;
    archive(bounded_enum<refusal_reason>{reason, last_refusal_reason}, retry_at);
}

template <typename Archive>
void serialize(Archive& archive, link_hello& it)
{
    archive(it.host, it.incarnation);
}

template <typename Archive>
void serialize(Archive& /*archive*/, link_keepalive& /*it*/)
{
}

template <typename Archive>
void serialize(Archive& archive, link_load& it)
{
    archive(it.load);
}

template <typename Archive>
void serialize(Archive& archive, link_delegation& it)
{
    archive(it.delegation, it.order);
}

template <typename Archive>
void serialize(Archive& archive, link_withdrawal& it)
{
    archive(it.delegation);
}

template <typename Archive>
void serialize(Archive& archive, link_outcome& it)
{
    archive(it.delegation, bounded_enum<job_outcome>{it.outcome, job_outcome::cancelled},
            it.refusal);
}

template <typename Archive>
void serialize(Archive& archive, link_release& it)
{
    archive(it.worker);
}

template <typename Archive>
void serialize(Archive& archive, queue_definition& it)
{
    auto& [name, hostname, path_prefix, service, priority, max_attempts, objective_factor,
           objective_offset, timeout] = it;
    archive(name, hostname, path_prefix, service, priority, max_attempts, objective_factor,
            objective_offset, timeout);
}

template <typename Archive>
void serialize(Archive& archive, service_definition& it)
{
    auto& [name, enforces_capacity] = it;
    archive(name, enforces_capacity);
}

template <typename Archive>
void serialize(Archive& archive, queue_configuration_fields& it)
{
    auto& [version, queues, services] = it;
    archive(version, bounded(queues, max_configuration_entries),
            bounded(services, max_configuration_entries));
}

template <typename Archive>
void serialize(Archive& archive, link_configuration_version& it)
{
    archive(it.version);
}

template <typename Archive>
void serialize(Archive& /*archive*/, link_configuration_request& /*it*/)
{
}

template <typename Archive>
void serialize(Archive& archive, link_configuration& it)
{
    archive(it.configuration);
}

template <typename Archive>
void serialize(Archive& archive, task_id& it)
{
    auto& [job, step, task] = it;
    archive(job, step, task);
}

template <typename Archive>
void serialize(Archive& archive, link_task_crashes& it)
{
    archive(it.task, it.crashes);
}

template <typename Archive>
void serialize(Archive& archive, job_cancellation& it)
{
    auto& [job, found, forget_at] = it;
    archive(job, found, forget_at);
}

template <typename Archive>
void serialize(Archive& archive, link_cancellation& it)
{
    archive(it.cancellation);
}

template <typename Archive>
void serialize(Archive& archive, link_cancellation_request& it)
{
    archive(it.cancellation);
}

template <typename Archive>
void serialize(Archive& archive, link_cancellation_answer& it)
{
    archive(it.job, it.found);
}

template <typename Archive>
void serialize(Archive& archive, zone_evacuation& it)
{
    auto& [zone, revision, ended] = it;
    archive(zone, revision, ended);
}

template <typename Archive>
void serialize(Archive& archive, link_evacuation& it)
{
    archive(it.request);
}

} // namespace papayafall::detail

namespace papayafall::jobs {

namespace {

/// Version of the protocol on job links. Frames of any other version are rejected.
constexpr std::uint8_t job_link_protocol_version = 4;

/// Size in bytes of the size field at the start of a frame.
constexpr std::size_t size_field_length = sizeof(std::uint32_t);

/// Size in bytes of a frame without content: its size, the protocol version and the message kind.
constexpr std::size_t min_frame_size = size_field_length + 2;

/// Decodes the content of message kind `kind`; tries the alternatives from `Index` on.
template <std::size_t Index = 0>
job_message decode_message_of_kind(detail::message_input_archive& in, std::uint8_t kind)
{
    if constexpr (Index < std::variant_size_v<job_message>) {
        if (kind != Index) {
            return decode_message_of_kind<Index + 1>(in, kind);
        }
        std::variant_alternative_t<Index, job_message> content;
        in(content);
        return content;
    } else {
        throw message_error(error_id::malformed_message, "frame has an unknown message kind");
    }
}

} // namespace

std::string encode_job_frame(const job_message& message, time_point now)
{
    detail::message_output_archive out(now);
    out(std::uint32_t{0}, job_link_protocol_version, static_cast<std::uint8_t>(message.index()));
    std::visit([&out](const auto& it) { out(it); }, message);
    std::string frame = out.take();
    if (frame.size() > max_job_frame_size) {
        throw message_error(error_id::message_too_large, "message exceeds the maximum frame size");
    }
    const auto size = static_cast<std::uint32_t>(frame.size());
    std::memcpy(frame.data(), &size, size_field_length);
    return frame;
}

std::optional<std::size_t> job_frame_size(std::string_view received)
{
    if (received.size() < size_field_length) {
        return std::nullopt;
    }
    std::uint32_t size = 0;
    std::memcpy(&size, received.data(), size_field_length);
    if (size < min_frame_size) {
        throw message_error(error_id::malformed_message, "frame is too small for its header");
    }
    if (size > max_job_frame_size) {
        throw message_error(error_id::message_too_large, "message exceeds the maximum frame size");
    }
    return size;
}

job_message decode_job_frame(std::string_view frame, time_point now)
{
    if (job_frame_size(frame) != frame.size()) {
        throw message_error(error_id::malformed_message, "frame differs in size from its header");
    }
    try {
        detail::message_input_archive in(frame.substr(size_field_length), now);
        std::uint8_t version = 0;
        std::uint8_t kind = 0;
        in(version, kind);
        if (version != job_link_protocol_version) {
            throw message_error(error_id::unsupported_version,
                                "frame has an unsupported protocol version");
        }
        job_message message = decode_message_of_kind(in, kind);
        in.expect_end();
        const auto* delegation = std::get_if<link_delegation>(&message);
        if (delegation != nullptr && !is_valid(*delegation->order->job)) {
            throw message_error(error_id::malformed_message, "delegated job is not valid");
        }
        return message;
    } catch (const cereal::Exception& ex) {
        throw message_error(error_id::malformed_message, ex.what());
    }
}

} // namespace papayafall::jobs
