#include "papayafall/platform/operators/change_log.hpp"

#include "papayafall/platform/operators/operator_errors.hpp"
#include "papayafall/platform/operators/planner.hpp"
#include "papayafall/platform/retry/retry_delay.hpp"
#include "papayafall/platform/store/await.hpp"
#include "papayafall/platform/store/keys.hpp"
#include "papayafall/wire/configuration/configuration_json.hpp"

#include <QTimer>

#include <algorithm>
#include <random>

namespace papayafall {

namespace {

/// Number of revisions after which a confirmation writes a new snapshot.
constexpr std::uint64_t snapshot_period_revisions = 20;

/// Number of latest changes to search for a plan that is no longer stored.
constexpr std::size_t max_searched_changes = 200;

constexpr std::chrono::milliseconds first_retry_delay{100};
constexpr std::chrono::milliseconds max_retry_delay{2'000};

using stored_values = std::vector<stored_value>;

read_result get(key_value_store& store, const std::string& key)
{
    return await<read_result>(
        [&](const platform_reply<read_result>& reply) { store.get(key, reply); });
}

stored_values list(key_value_store& store, const std::string& prefix)
{
    return await<stored_values>(
        [&](const platform_reply<stored_values>& reply) { store.list(prefix, reply); });
}

put_outcome put(key_value_store& store, const put_request& request)
{
    return await<put_outcome>(
        [&](const platform_reply<put_outcome>& reply) { store.put(request, reply); });
}

void sleep_until(time_point at, const clock_source& clock)
{
    QEventLoop loop;
    const auto remaining = std::max(duration::zero(), at - clock.read().steady);
    QTimer::singleShot(std::chrono::ceil<std::chrono::milliseconds>(remaining), &loop,
                       &QEventLoop::quit);
    loop.exec();
}

/// Decodes a stored value; a malformed value is reported as `platform_protocol`.
template <typename Decode>
auto decode_stored(const stored_value& it, Decode decode)
{
    try {
        return decode(it.data);
    } catch (const configuration_error& ex) {
        throw platform_error(error_id::platform_protocol, it.key + ": " + ex.what());
    }
}

} // namespace

std::string_view to_string(confirmation_kind kind) noexcept
{
    switch (kind) {
    case confirmation_kind::confirmed:
        return "confirmed";
    case confirmation_kind::already_confirmed:
        return "already_confirmed";
    case confirmation_kind::unchanged:
        break;
    }
    return "unchanged";
}

change_log::change_log(key_value_store& store, const clock_source& clock)
    : store_(store), clock_(clock)
{
}

configuration_reading change_log::read_current()
{
    return await<configuration_reading>([this](const platform_reply<configuration_reading>& reply) {
        read_configuration(store_, reply);
    });
}

plan change_log::propose(const operator_name& author, const intent_document& intent,
                         const plan_observations& observations)
{
    plan proposed = make_plan(read_current().content, intent, observations);
    remove_expired_plans();
    store_pending_plan(proposed, author);
    return proposed;
}

void change_log::store_pending_plan(const plan& proposed, const operator_name& author)
{
    const pending_plan pending(pending_plan_fields{
        .plan = proposed->id,
        .base = proposed->base,
        .author = author,
        .made_at = clock_.read().wall,
        .intent = proposed->intent,
    });
    put(store_, {keys::pending_plan(proposed->id), encode_pending_plan(pending), put_always{}});
}

void change_log::remove_expired_plans()
{
    const wall_time oldest = clock_.read().wall - plan_lifetime;
    for (const stored_value& it : list(store_, keys::all_pending_plans())) {
        if (decode_stored(it, decode_pending_plan)->made_at >= oldest) {
            continue;
        }
        await<put_outcome>(
            [&](const platform_reply<put_outcome>& reply) { store_.erase(it.key, reply); });
    }
}

confirmation change_log::confirm(const plan_id& id, const operator_name& author,
                                 time_point deadline)
{
    retry_delay delay(first_retry_delay, max_retry_delay, std::random_device()());
    bool maybe_applied = false;
    while (true) {
        try {
            return confirm_once(id, author);
        } catch (const platform_call_error& ex) {
            maybe_applied = maybe_applied || ex.effect() == write_effect::may_have_been_applied;
            const time_point next = delay.next(clock_.read().steady);
            if (next >= deadline) {
                throw platform_call_error({ex.id(),
                                           maybe_applied ? write_effect::may_have_been_applied
                                                         : write_effect::not_applied,
                                           "the plan could not be confirmed before the deadline"});
            }
            sleep_until(next, clock_);
        }
    }
}

confirmation change_log::confirm_once(const plan_id& id, const operator_name& author)
{
    const auto pending = find_pending(id);
    return pending ? confirm_pending(*pending, author) : find_confirmed(id);
}

confirmation change_log::confirm_pending(const pending_plan& pending, const operator_name& author)
{
    const configuration_reading current = read_current();
    if (current.content->revision > pending->base) {
        return check_next_change(pending);
    }
    if (current.content->revision < pending->base) {
        throw platform_error(
            error_id::platform_protocol,
            "the platform's configuration is at an older revision than the plan's base");
    }
    const plan proposed = make_plan(current.content, pending->intent, {});
    if (proposed->differences.empty()) {
        return {confirmation_kind::unchanged, pending->base};
    }
    const confirmation confirmed = write(change_record_fields{
        .revision = proposed->result->revision,
        .base = pending->base,
        .plan = proposed->id,
        .author = author,
        .confirmed_at = clock_.read().wall,
        .intent = proposed->intent,
        .differences = proposed->differences,
    });
    update_snapshot(current, proposed->result);
    return confirmed;
}

std::vector<change_record> change_log::history(std::size_t limit)
{
    std::vector<change_record> out;
    std::uint64_t newest = read_current().content->revision.value();
    while (newest > 0 && out.size() < limit) {
        const stored_values block = list(store_, keys::change_block(revision_id(newest)));
        for (auto it = block.rbegin(); it != block.rend() && out.size() < limit; ++it) {
            out.push_back(decode_stored(*it, decode_change_record));
        }
        newest -= std::min(newest, newest % keys::changes_per_block + 1);
    }
    return out;
}

std::optional<pending_plan> change_log::find_pending(const plan_id& id)
{
    const read_result read = get(store_, keys::pending_plan(id));
    if (!read.found) {
        return std::nullopt;
    }
    const pending_plan pending = decode_stored(*read.found, decode_pending_plan);
    if (make_plan_id(pending->base, pending->intent) != id) {
        throw platform_error(error_id::platform_protocol,
                             "the content of the stored plan does not match its identifier");
    }
    return pending;
}

std::optional<change_record> change_log::find_change(revision_id revision)
{
    const read_result read = get(store_, keys::change(revision));
    if (!read.found) {
        return std::nullopt;
    }
    return decode_stored(*read.found, decode_change_record);
}

confirmation change_log::find_confirmed(const plan_id& id)
{
    for (const change_record& it : history(max_searched_changes)) {
        if (it->plan == id) {
            return {confirmation_kind::already_confirmed, it->revision};
        }
    }
    throw plan_not_found(id);
}

confirmation change_log::check_next_change(const pending_plan& pending)
{
    const auto next = find_change(pending->base.next());
    if (!next) {
        throw platform_error(error_id::platform_protocol,
                             "the change record after the plan's base is missing");
    }
    if ((*next)->plan == pending->plan) {
        return {confirmation_kind::already_confirmed, (*next)->revision};
    }
    throw plan_stale(*next);
}

confirmation change_log::write(const change_record& record)
{
    const put_request write_request{keys::change(record->revision), encode_change_record(record),
                                    put_if_absent{}};
    if (put(store_, write_request) == put_outcome::applied) {
        return {confirmation_kind::confirmed, record->revision};
    }
    return resolve_refused_write(record);
}

confirmation change_log::resolve_refused_write(const change_record& record)
{
    const auto found = find_change(record->revision);
    if (!found) {
        throw platform_error(error_id::platform_protocol,
                             "the platform refused to create a change record because it exists, "
                             "but it cannot be found");
    }
    if ((*found)->plan == record->plan) {
        return {confirmation_kind::already_confirmed, record->revision};
    }
    throw plan_conflict(*found);
}

void change_log::update_snapshot(const configuration_reading& before, const configuration& content)
{
    if (content->revision.value() - before.snapshot_revision.value() < snapshot_period_revisions) {
        return;
    }
    put_request write_request{keys::snapshot(), encode_configuration(content).dump(),
                              put_if_absent{}};
    if (before.snapshot_index != modify_index()) {
        write_request.condition = put_if_unchanged{before.snapshot_index};
    }
    try {
        put(store_, write_request);
    } catch (const platform_call_error&) {
        return; // the next confirmation will write the snapshot
    }
}

} // namespace papayafall
