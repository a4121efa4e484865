#include "papayafall/core/controllers/target_controller.hpp"

#include "papayafall/core/controllers/target_transitions.hpp"
#include "papayafall/core/membership/live_hosts.hpp"
#include "papayafall/core/policies/rendezvous_hash.hpp"

#include <algorithm>
#include <set>
#include <utility>
#include <variant>

namespace papayafall {

namespace {

/// Time between two checks of the set of hosts that the zone's targets are divided among.
constexpr duration division_check_period = std::chrono::milliseconds(100);
/// Number of consecutive doubtful lists (see `is_doubtful`) of which the last is accepted.
constexpr std::uint32_t max_doubtful_lists = 3;
/// Time between two checks of whether an unlisted target can be erased.
constexpr duration removal_check_period = std::chrono::seconds(1);
constexpr std::uint16_t first_server_error = 500;
constexpr std::int64_t permille = 1000;

bool is_ejected(const target_state& target)
{
    return target->stage == target_stage::ejected || target->stage == target_stage::probing;
}

/// Returns the contribution of one target to the sums over the targets of this host in the zone.
zone_health contribution(const target_state& target)
{
    if (!target->owned) {
        return zone_health{};
    }
    if (is_ejected(target) || target->stage == target_stage::leaving) {
        return zone_health{.owned = 1, .ejected = is_ejected(target) ? 1U : 0U};
    }
    return zone_health{.owned = 1,
                       .in_service = 1,
                       .failed_permille = failed_permille(target),
                       .relative_run_time_permille = target->relative_run_time_permille};
}

zone_health with_target(const zone_health& sums, const target_state& target)
{
    const zone_health contributed = contribution(target);
    return zone_health{.owned = sums.owned + contributed.owned,
                       .ejected = sums.ejected + contributed.ejected,
                       .in_service = sums.in_service + contributed.in_service,
                       .failed_permille = sums.failed_permille + contributed.failed_permille,
                       .relative_run_time_permille = sums.relative_run_time_permille +
                                                     contributed.relative_run_time_permille};
}

zone_health without_target(const zone_health& sums, const target_state& target)
{
    const zone_health contributed = contribution(target);
    return zone_health{.owned = sums.owned - contributed.owned,
                       .ejected = sums.ejected - contributed.ejected,
                       .in_service = sums.in_service - contributed.in_service,
                       .failed_permille = sums.failed_permille - contributed.failed_permille,
                       .relative_run_time_permille = sums.relative_run_time_permille -
                                                     contributed.relative_run_time_permille};
}

/// Returns whether the target index depends on the difference between the two states.
bool changes_index(const target_state& before, const target_state& after)
{
    return before->owned != after->owned || before->usable_slots != after->usable_slots ||
           before->stage != after->stage ||
           before->relative_run_time_permille / permille !=
               after->relative_run_time_permille / permille;
}

/// Returns the run time of an exchange in thousandths of the expected run time.
std::uint32_t relative_run_time(const exchange_state& exchange, const clock_reading& now)
{
    const std::int64_t expected = std::max<std::int64_t>(exchange->expected_run_time.count(), 1);
    const std::int64_t elapsed = (now.steady - exchange->started_at).count();
    constexpr std::int64_t max_permille = 1'000'000;
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(elapsed * permille / expected, 0, max_permille));
}

/// What the outcome of an exchange says about the health of its target.
enum class health_signal { success, failure, none };

/// Returns what `outcome` says about the target. Outcomes that the target is not responsible for
/// say nothing: an abandoned exchange, a deadline shorter than the expected run time, or a failure
/// before the task reached the target.
health_signal health_signal_of(const exchange_state& exchange, const exchange_outcome& outcome,
                               const clock_reading& now)
{
    if (exchange->abandoned) {
        return health_signal::none;
    }
    if (const auto* result = std::get_if<task_answer>(&outcome)) {
        return result->status < first_server_error ? health_signal::success
                                                   : health_signal::failure;
    }
    if (std::holds_alternative<no_answer>(outcome)) {
        const bool had_time = now.steady - exchange->started_at >= exchange->expected_run_time;
        return had_time ? health_signal::failure : health_signal::none;
    }
    if (const auto* failed = std::get_if<failure>(&outcome)) {
        return failed->run == run_state::not_run ? health_signal::none : health_signal::failure;
    }
    return health_signal::failure;
}

/// Returns the names of the zone's targets in the list.
std::set<target_name> listed_targets(const host_list_snapshot& hosts, const zone_name& zone)
{
    std::set<target_name> names;
    for (const target_entry& it : hosts->targets) {
        if (it.zone == zone) {
            names.insert(it.name);
        }
    }
    return names;
}

/// Returns whether a list lacks more than half of the known targets. An outage of the platform is
/// then more likely than a loss of the targets.
bool is_doubtful(const blackboard& board, const std::set<target_name>& listed)
{
    std::size_t known = 0;
    std::size_t missing = 0;
    for (const auto& it : board.targets) {
        if (!it.value->listed) {
            continue;
        }
        ++known;
        missing += listed.contains(it.key) ? 0 : 1;
    }
    return known > 0 && (listed.empty() || 2 * missing > known);
}

/// Returns the live hosts of the zone, including this one. A leaving host counts itself but is not
/// counted by its peers, so that it can finish the work that it accepted.
std::vector<host_name> dispatching_hosts(const blackboard& board, const clock_reading& now)
{
    std::vector<host_name> names = live_zone_hosts(board, now.steady);
    const host_name& self = board.self.get()->host;
    const auto position = std::ranges::lower_bound(names, self);
    if (position == names.end() || *position != self) {
        names.insert(position, self);
    }
    return names;
}

/// Returns whether rendezvous hashing assigns `target` to this host.
bool is_owner(const blackboard& board, const target_name& target)
{
    const host_name* owner = rendezvous_owner(board.division->hosts, target.text());
    return owner != nullptr && *owner == board.self.get()->host;
}

target_state with_owned(const target_state& target, bool owned)
{
    return target.with([owned](target_state_fields& it) { it.owned = owned; });
}

} // namespace

target_controller::target_controller(blackboard& board,
                                     std::shared_ptr<const ejection_policy> ejection)
    : ejection_(std::move(ejection)), targets_(board.targets.claim()),
      target_health_(board.target_health.claim()), division_(board.division.claim())
{
}

void target_controller::on_event(blackboard& board, const event& incoming, const clock_reading& now)
{
    if (const auto* list = std::get_if<host_list_received>(&incoming)) {
        apply_host_list(board, list->hosts, now);
    } else if (const auto* received = std::get_if<heartbeat_received>(&incoming)) {
        apply_heartbeat(board, received->beat, now);
    } else if (const auto* finished = std::get_if<exchange_finished>(&incoming)) {
        apply_outcome(board, *finished, now);
    }
}

void target_controller::on_tick(blackboard& board, const clock_reading& now)
{
    if (board.division->next_check <= now.steady) {
        divide_targets(board, now);
    }
    while (const auto target = board.targets.expired(now.steady)) {
        handle_stage_end(board, *target, now);
    }
}

void target_controller::apply_host_list(blackboard& board, const host_list_snapshot& hosts,
                                        const clock_reading& now)
{
    const std::set<target_name> listed = listed_targets(hosts, board.self.get()->zone);
    target_division division = board.division.get();
    const bool doubtful = is_doubtful(board, listed);
    division.consecutive_doubtful_lists = doubtful ? division.consecutive_doubtful_lists + 1 : 0;
    division_.put(division);

    if (board.division->hosts.empty()) {
        divide_targets(board, now);
    }
    for (const target_entry& it : hosts->targets) {
        if (it.zone == board.self.get()->zone) {
            apply_entry(board, it, now);
        }
    }
    const bool accepted = !doubtful || division.consecutive_doubtful_lists >= max_doubtful_lists;
    if (accepted && !listed.empty()) {
        mark_unlisted_leaving(board, listed, now);
    }
}

void target_controller::apply_entry(blackboard& board, const target_entry& entry,
                                    const clock_reading& now)
{
    const target_state* known = board.targets.find(entry.name);
    if (known == nullptr) {
        const target_state added(
            target_state_fields{.entry = entry, .owned = is_owner(board, entry.name)});
        put_target(board, entry.name,
                   entry.leaving ? as_leaving(added, now) : as_careful(added, now));
        return;
    }
    const target_state before = *known;
    if (before->entry == entry && before->listed) {
        return;
    }
    const target_state updated = before.with([&entry](target_state_fields& it) {
        it.entry = entry;
        it.listed = true;
        it.usable_slots = std::min(it.usable_slots, entry.slots);
    });
    if (entry.leaving) {
        put_target(board, entry.name, as_leaving(updated, now));
        return;
    }
    const bool returned = before->entry.leaving || !before->listed;
    const bool resized = before->entry.slots != entry.slots;
    const bool healthy = before->stage == target_stage::healthy;
    if (returned) {
        const target_state renewed =
            updated.with([](target_state_fields& it) { it.announced_leaving = false; });
        put_target(board, entry.name, as_probing(renewed));
    } else if (resized && healthy) {
        put_target(board, entry.name, as_careful(updated, now));
    } else {
        put_target(board, entry.name, updated);
    }
}

void target_controller::mark_unlisted_leaving(blackboard& board,
                                              const std::set<target_name>& listed,
                                              const clock_reading& now)
{
    std::vector<target_name> unlisted;
    for (const auto& it : board.targets) {
        if (it.value->listed && !listed.contains(it.key)) {
            unlisted.push_back(it.key);
        }
    }
    for (const target_name& it : unlisted) {
        const target_state leaving = as_leaving(*board.targets.find(it), now);
        put_target(board, it, leaving.with([&now](target_state_fields& fields) {
            fields.listed = false;
            fields.stage_ends_at = now.steady + removal_check_period;
        }));
    }
}

void target_controller::apply_heartbeat(blackboard& board, const heartbeat& beat,
                                        const clock_reading& now)
{
    for (const target_name& it : beat->leaving_targets) {
        const target_state* known = board.targets.find(it);
        if (known == nullptr || (*known)->stage == target_stage::leaving) {
            continue;
        }
        put_target(board, it, as_leaving(*known, now));
    }
}

void target_controller::apply_outcome(blackboard& board, const exchange_finished& incoming,
                                      const clock_reading& now)
{
    const exchange_state* found = board.exchanges.find(incoming.exchange);
    if (found == nullptr) {
        return;
    }
    const exchange_state exchange = *found;
    const auto* target = std::get_if<target_name>(&exchange->destination);
    const target_state* known = target == nullptr ? nullptr : board.targets.find(*target);
    if (known == nullptr) {
        return;
    }
    const target_state before = *known;
    if (const auto* refused = std::get_if<target_refused>(&incoming.outcome)) {
        const target_state after = refused->leaving
                                       ? as_leaving(before, now).with([](target_state_fields& it) {
                                             it.announced_leaving = true;
                                         })
                                       : after_busy(before, now);
        put_target(board, *target, after);
        return;
    }
    const health_signal signal = health_signal_of(exchange, incoming.outcome, now);
    if (signal == health_signal::none) {
        return;
    }
    const bool success = signal == health_signal::success;
    const target_state after = success
                                   ? after_success(before, relative_run_time(exchange, now), now)
                                   : after_failure(before);
    if (after->stage == target_stage::leaving || after->stage == target_stage::ejected) {
        put_target(board, *target, after);
        return;
    }
    const bool failed_probe = !success && after->stage == target_stage::probing;
    const bool ejected = failed_probe || ejection_->should_eject(after, board, now);
    put_target(board, *target,
               ejected ? as_ejected(after, ejection_->next_probe_at(after, now)) : after);
}

void target_controller::handle_stage_end(blackboard& board, const target_name& target,
                                         const clock_reading& now)
{
    const target_state before = *board.targets.find(target);
    if (before->listed) {
        put_target(board, target, after_stage_end(before, now));
        return;
    }
    const slot_usage* used = board.slot_usages.find(target);
    if (used == nullptr || used->total() == 0) {
        erase_target(board, target);
        return;
    }
    put_target(board, target, before.with([&now](target_state_fields& it) {
        it.stage_ends_at = now.steady + removal_check_period;
    }));
}

void target_controller::divide_targets(blackboard& board, const clock_reading& now)
{
    target_division division = board.division.get();
    std::vector<host_name> hosts = dispatching_hosts(board, now);
    const bool changed = hosts != division.hosts;
    division.hosts = std::move(hosts);
    division.next_check = now.steady + division_check_period;
    division_.put(division);
    if (!changed) {
        return;
    }
    std::vector<std::pair<target_name, target_state>> moved;
    for (const auto& it : board.targets) {
        const bool owned = is_owner(board, it.key);
        if (owned == it.value->owned) {
            continue;
        }
        const target_state after = with_owned(it.value, owned);
        const bool healthy = after->stage == target_stage::healthy;
        moved.emplace_back(it.key, owned && healthy ? as_careful(after, now) : after);
    }
    for (const auto& [name, after] : moved) {
        put_target(board, name, after);
    }
}

void target_controller::put_target(blackboard& board, const target_name& target,
                                   const target_state& after)
{
    const target_state* known = board.targets.find(target);
    const bool changed = known == nullptr || changes_index(*known, after);
    zone_health health = board.target_health.get();
    if (known != nullptr) {
        health = without_target(health, *known);
    }
    target_health_.put(with_target(health, after));
    targets_.put(target, after, after->stage_ends_at);
    if (changed) {
        board.raised.post(target_changed{target});
    }
}

void target_controller::erase_target(blackboard& board, const target_name& target)
{
    target_health_.put(without_target(board.target_health.get(), *board.targets.find(target)));
    targets_.erase(target);
    board.raised.post(target_changed{target});
}

} // namespace papayafall
