#include "papayafall/wire/http/status_codec.hpp"

#include <nlohmann/json.hpp>

#include <string_view>

namespace papayafall {

namespace {

using nlohmann::ordered_json;

std::string_view name_of(target_stage stage) noexcept
{
    switch (stage) {
    case target_stage::healthy:
        return "healthy";
    case target_stage::careful:
        return "careful";
    case target_stage::ejected:
        return "ejected";
    case target_stage::probing:
        return "probing";
    case target_stage::leaving:
        break;
    }
    return "leaving";
}

std::string_view name_of(seat_phase phase) noexcept
{
    switch (phase) {
    case seat_phase::free:
        return "free";
    case seat_phase::claiming:
        return "claiming";
    case seat_phase::held:
        break;
    }
    return "held";
}

/// Returns the milliseconds from `now` to `instant`, rounded up; null if there is no deadline.
ordered_json remaining_ms(time_point deadline, time_point now)
{
    if (deadline == no_deadline) {
        return nullptr;
    }
    return std::chrono::ceil<std::chrono::milliseconds>(deadline - now).count();
}

ordered_json encode(const endpoint& it)
{
    return {{"address", it.address}, {"port", it.port}};
}

ordered_json encode(const seat_id& it)
{
    return {{"zone", it.zone.text()}, {"number", it.number}};
}

ordered_json encode(const self_state& it)
{
    return {
        {"host", it->host.text()},
        {"zone", it->zone.text()},
        {"incarnation", it->incarnation.value()},
        {"link", encode(it->link)},
        {"leaving", it->leaving},
    };
}

ordered_json encode(const host_state& it, time_point now)
{
    const heartbeat& last = it->last_heartbeat;
    return {
        {"host", last->host.text()},
        {"zone", last->zone.text()},
        {"incarnation", last->incarnation.value()},
        {"revision", last->revision.value()},
        {"free_slots", last->free_slots},
        {"queued_tasks", last->queued_tasks},
        {"leaving", last->leaving},
        {"alive_for_ms", remaining_ms(it->alive_until, now)},
    };
}

ordered_json encode(const target_state& it, time_point now)
{
    return {
        {"target", it->entry.name.text()},
        {"zone", it->entry.zone.text()},
        {"address", encode(it->entry.address)},
        {"slots", it->entry.slots},
        {"usable_slots", it->usable_slots},
        {"owned", it->owned},
        {"stage", name_of(it->stage)},
        {"stage_ends_in_ms", remaining_ms(it->stage_ends_at, now)},
        {"successes", it->successes},
        {"failures", it->failures},
    };
}

ordered_json encode(const applied_change& it)
{
    ordered_json document{
        {"since_unix_ms", it.applied_at.time_since_epoch().count()},
        {"replaced", it.previous_revision.value()},
        {"plan", nullptr},
        {"operator", nullptr},
    };
    if (it.origin) {
        document["plan"] = it.origin->plan.text();
        document["operator"] = it.origin->author.text();
    }
    return document;
}

ordered_json encode(const seat_status& it)
{
    return {
        {"seat", encode(it.seat)},
        {"phase", name_of(it.state->phase)},
        {"homing", it.homes_keys},
    };
}

} // namespace

std::string encode_status(const status_snapshot& status, time_point now)
{
    ordered_json document{
        {"self", encode(status->self)},
        {"ready", status->ready},
        {"revision", status->current_configuration->revision.value()},
        {"change", encode(status->last_change)},
        {"submissions", status->submission_records},
        {"queued_tasks", status->queued_tasks},
        {"running_tasks", status->running_tasks},
        {"forwards", status->forwarded_requests},
        {"hosts", ordered_json::array()},
        {"targets", ordered_json::array()},
        {"seats", ordered_json::array()},
    };
    for (const host_state& it : status->hosts) {
        document["hosts"].push_back(encode(it, now));
    }
    for (const target_state& it : status->targets) {
        document["targets"].push_back(encode(it, now));
    }
    for (const seat_status& it : status->seats) {
        document["seats"].push_back(encode(it));
    }
    return document.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

} // namespace papayafall
