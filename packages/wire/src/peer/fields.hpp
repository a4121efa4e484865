#pragma once

#include "archive.hpp"

#include "papayafall/core/values/answer.hpp"
#include "papayafall/core/values/change_origin.hpp"
#include "papayafall/core/values/configuration.hpp"
#include "papayafall/core/values/host.hpp"
#include "papayafall/core/values/request.hpp"
#include "papayafall/core/values/work.hpp"

#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/variant.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

/// Serialization of the core values with cereal. Aggregates are unpacked by structured bindings, so
/// that a new field of an aggregate is a compile error here until it is encoded.
namespace papayafall::detail {

/// Maximum number of elements of any list but the tasks of a job.
inline constexpr std::size_t max_list_length = 4096;

// Lists: elements are decoded one by one, so that memory use grows only with the bytes received.

/// List with its maximum length, which the sender and the receiver enforce.
template <typename List>
struct bounded_list {
    List& elements;
    std::size_t max_length;
};

template <typename List>
bounded_list<List> bounded(List& elements, std::size_t max_length = max_list_length)
{
    return {elements, max_length};
}

template <typename List>
void save(message_output_archive& out, const bounded_list<List>& it)
{
    if (it.elements.size() > it.max_length) {
        throw message_error(error_id::message_too_large, "list exceeds its maximum length");
    }
    out(cereal::make_size_tag(it.elements.size()));
    for (const auto& element : it.elements) {
        out(element);
    }
}

template <typename List>
void load(message_input_archive& in, bounded_list<List>& it)
{
    std::size_t size = 0;
    in(cereal::make_size_tag(size));
    if (size > it.max_length) {
        throw message_error(error_id::message_too_large, "list exceeds its maximum length");
    }
    for (std::size_t n = 0; n < size; ++n) {
        typename List::value_type element;
        in(element);
        it.elements.push_back(std::move(element));
    }
}

/// Enumerator with the last valid enumerator of its type.
template <typename Enum>
struct bounded_enum {
    Enum& value;
    Enum last;
};

template <typename Enum>
void save(message_output_archive& out, const bounded_enum<Enum>& it)
{
    out(static_cast<std::uint8_t>(it.value));
}

template <typename Enum>
void load(message_input_archive& in, bounded_enum<Enum>& it)
{
    std::uint8_t number = 0;
    in(number);
    if (number > static_cast<std::uint8_t>(it.last)) {
        throw message_error(error_id::malformed_message, "enumerator is out of range");
    }
    it.value = static_cast<Enum>(number);
}

/// Optional enumerator with the last valid enumerator of its type.
template <typename Enum>
struct optional_enum {
    std::optional<Enum>& value;
    Enum last;
};

template <typename Enum>
void save(message_output_archive& out, const optional_enum<Enum>& it)
{
    out(it.value.has_value());
    if (it.value) {
        out(bounded_enum<Enum>{*it.value, it.last});
    }
}

template <typename Enum>
void load(message_input_archive& in, optional_enum<Enum>& it)
{
    bool present = false;
    in(present);
    if (!present) {
        it.value.reset();
        return;
    }
    Enum found{};
    in(bounded_enum<Enum>{found, it.last});
    it.value = found;
}

template <typename Archive>
void serialize(Archive& archive, std::array<std::uint8_t, 16>& it)
{
    for (std::uint8_t& n : it) {
        archive(n);
    }
}

// Time.

/// Remaining time on the wire that means `no_deadline`.
inline constexpr std::int64_t infinite_remaining_time = std::numeric_limits<std::int64_t>::max();

/// Maximum magnitude of a received remaining time; longer times are clamped.
inline constexpr duration max_remaining_time = std::chrono::hours(24 * 365);

template <std::same_as<time_point> Instant>
void save(message_output_archive& out, const Instant& it)
{
    out(it == no_deadline ? infinite_remaining_time : (it - out.now()).count());
}

template <std::same_as<time_point> Instant>
void load(message_input_archive& in, Instant& it)
{
    std::int64_t remaining = 0;
    in(remaining);
    if (remaining == infinite_remaining_time) {
        it = no_deadline;
        return;
    }
    it = in.now() + std::clamp(duration(remaining), -max_remaining_time, max_remaining_time);
}

template <std::same_as<wall_time> Instant>
void save(message_output_archive& out, const Instant& it)
{
    out(static_cast<std::int64_t>(it.time_since_epoch().count()));
}

template <std::same_as<wall_time> Instant>
void load(message_input_archive& in, Instant& it)
{
    std::int64_t count = 0;
    in(count);
    it = wall_time(std::chrono::milliseconds(count));
}

template <typename Period>
void save(message_output_archive& out, const std::chrono::duration<std::int64_t, Period>& it)
{
    out(static_cast<std::int64_t>(it.count()));
}

template <typename Period>
void load(message_input_archive& in, std::chrono::duration<std::int64_t, Period>& it)
{
    std::int64_t count = 0;
    in(count);
    it = std::chrono::duration<std::int64_t, Period>(count);
}

// Identifiers and handles.

template <typename Tag>
void save(message_output_archive& out, const basic_name<Tag>& it)
{
    out(it.text());
}

template <typename Tag>
void load(message_input_archive& in, basic_name<Tag>& it)
{
    std::string text;
    in(text);
    it = basic_name<Tag>(std::move(text));
}

template <typename Tag>
void save(message_output_archive& out, const basic_number<Tag>& it)
{
    out(it.value());
}

template <typename Tag>
void load(message_input_archive& in, basic_number<Tag>& it)
{
    std::uint64_t number = 0;
    in(number);
    it = basic_number<Tag>(number);
}

template <std::same_as<bytes> Bytes>
void save(message_output_archive& out, const Bytes& it)
{
    const std::string_view view = it.view();
    out(cereal::make_size_tag(view.size()));
    out.append(view.data(), view.size());
}

template <std::same_as<bytes> Bytes>
void load(message_input_archive& in, Bytes& it)
{
    std::string data;
    in(data);
    it = bytes(std::move(data));
}

template <typename Fields>
void save(message_output_archive& out, const value<Fields>& it)
{
    out(*it);
}

template <typename Fields>
void load(message_input_archive& in, value<Fields>& it)
{
    Fields fields;
    in(fields);
    it = value<Fields>(std::move(fields));
}

// Hosts and heartbeats.

template <typename Archive>
void serialize(Archive& archive, endpoint& it)
{
    auto& [address, port] = it;
    archive(address, port);
}

template <typename Archive>
void serialize(Archive& archive, peer_id& it)
{
    auto& [host, incarnation] = it;
    archive(host, incarnation);
}

template <typename Archive>
void serialize(Archive& archive, seat_id& it)
{
    auto& [zone, number] = it;
    archive(zone, number);
}

template <typename Archive>
void serialize(Archive& archive, heartbeat_fields& it)
{
    auto& [host, zone, incarnation, sequence, link, datagrams, revision, free_slots, queued_tasks,
           leaving, seats, leaving_targets] = it;
    archive(host, zone, incarnation, sequence, link, datagrams, revision, free_slots, queued_tasks,
            leaving, bounded(seats), bounded(leaving_targets));
}

// Requests and answers.

template <typename Archive>
void serialize(Archive& archive, ticket& it)
{
    auto& [zone, host, incarnation, sequence] = it;
    archive(zone, host, incarnation, sequence);
}

template <typename Archive>
void serialize(Archive& archive, caller_key& it)
{
    auto& [text, made_at] = it;
    archive(text, made_at);
}

template <typename Archive>
void serialize(Archive& archive, task& it)
{
    auto& [body, declared_run_time] = it;
    archive(body, declared_run_time);
}

template <typename Archive>
void serialize(Archive& archive, request_fields& it)
{
    auto& [service, team, key, fingerprint, tasks, deadline, urgency] = it;
    archive(service, team, key, fingerprint, bounded(tasks, max_tasks_per_job), deadline,
            optional_enum<urgency_level>{urgency, urgency_level::background});
}

template <typename Archive>
void serialize(Archive& archive, work_item_fields& it)
{
    auto& [service, team, urgency, idempotent, body, declared_run_time, deadline, retryable] = it;
    archive(service, team, bounded_enum<urgency_level>{urgency, urgency_level::background},
            idempotent, body, declared_run_time, deadline, retryable);
}

template <typename Archive>
void serialize(Archive& archive, failure& it)
{
    auto& [id, run, detail, retry_at] = it;
    archive(id, bounded_enum<run_state>{run, run_state::unknown}, detail, retry_at);
}

template <typename Archive>
void serialize(Archive& archive, task_answer& it)
{
    auto& [status, body] = it;
    archive(status, body);
}

template <typename Archive>
void serialize(Archive& archive, completion_fields& it)
{
    auto& [answers] = it;
    archive(bounded(answers, max_tasks_per_job));
}

// Configuration.

template <typename Archive>
void serialize(Archive& archive, service_configuration& it)
{
    auto& [urgency, time_limit, idempotent, rate_limit, concurrency_limit, queue_limit,
           price_per_slot_second_millionths, max_cost_per_request_millionths,
           budget_per_window_millionths, budget_window] = it;
    archive(bounded_enum<urgency_level>{urgency, urgency_level::background}, time_limit, idempotent,
            rate_limit, concurrency_limit, queue_limit, price_per_slot_second_millionths,
            max_cost_per_request_millionths, budget_per_window_millionths, budget_window);
}

template <typename Archive>
void serialize(Archive& archive, team_configuration& it)
{
    auto& [slot_quota, rate_limit] = it;
    archive(slot_quota, rate_limit);
}

template <typename Archive>
void serialize(Archive& archive, zone_configuration& it)
{
    auto& [seats] = it;
    archive(seats);
}

template <typename Archive>
void serialize(Archive& archive, change_origin& it)
{
    auto& [plan, author] = it;
    archive(plan, author);
}

template <typename Archive>
void serialize(Archive& archive, configuration_fields& it)
{
    auto& [revision, services, teams, zones] = it;
    archive(revision, services, teams, zones);
}

} // namespace papayafall::detail
