#include "papayafall/core/controllers/target_index_writer.hpp"

#include "papayafall/core/policies/rendezvous_hash.hpp"

#include <algorithm>

namespace papayafall {

namespace {

constexpr std::uint32_t normal_run_time_permille = 1000;
/// Relative run times are rounded down to multiples of this step, so that noise does not affect the
/// order of the targets.
constexpr std::uint32_t run_time_step_permille = 500;

/// Returns the relative run time rounded down, but at least the normal one, in thousandths.
std::uint32_t rounded_slowdown(std::uint32_t relative_run_time)
{
    const std::uint32_t rounded =
        relative_run_time / run_time_step_permille * run_time_step_permille;
    return std::max(rounded, normal_run_time_permille);
}

std::uint32_t free_slots(const indexed_target& entry)
{
    return entry.usable - std::min(entry.usable, entry.used.total());
}

/// Returns the index entry of `target`. A probing target has load 0, so that it comes first while
/// its only usable slot is free.
indexed_target make_entry(const blackboard& board, const target_state& target)
{
    const target_name& name = target->entry.name;
    const slot_usage* found = board.slot_usages.find(name);
    const slot_usage used = found == nullptr ? slot_usage{} : *found;
    const std::uint32_t usable = target->usable_slots;
    const bool probing = target->stage == target_stage::probing;
    const std::uint32_t load =
        probing
            ? 0
            : (used.total() + 1) * rounded_slowdown(target->relative_run_time_permille) / usable;
    return indexed_target{
        .rank = target_rank{.full = used.total() >= usable,
                            .load = load,
                            .tie_break = rendezvous_weight(board.self.get()->host, name.text()),
                            .target = name},
        .usable = usable,
        .used = used};
}

} // namespace

target_index_writer::target_index_writer(blackboard& board)
    : ranks_(board.targets_by_load.claim()), entries_(board.indexed_targets.claim()),
      totals_(board.target_slot_totals.claim())
{
}

void target_index_writer::refresh(const blackboard& board, const target_name& target)
{
    remove(board, target);
    const target_state* state = board.targets.find(target);
    if (state == nullptr || !(*state)->owned || (*state)->usable_slots == 0) {
        return;
    }
    add(board, target);
}

void target_index_writer::count_start(const blackboard& board, const target_name& target)
{
    slot_totals totals = board.target_slot_totals.get();
    ++totals.starts;
    totals.last_started = target;
    totals_.put(totals);
}

void target_index_writer::remove(const blackboard& board, const target_name& target)
{
    const indexed_target* entry = board.indexed_targets.find(target);
    if (entry == nullptr) {
        return;
    }
    slot_totals totals = board.target_slot_totals.get();
    totals.usable -= entry->usable;
    totals.short_running -= entry->used.short_running;
    totals.long_running -= entry->used.long_running;
    totals.free -= free_slots(*entry);
    totals_.put(totals);
    ranks_.erase(entry->rank);
    entries_.erase(target);
}

void target_index_writer::add(const blackboard& board, const target_name& target)
{
    const indexed_target entry = make_entry(board, *board.targets.find(target));
    slot_totals totals = board.target_slot_totals.get();
    totals.usable += entry.usable;
    totals.short_running += entry.used.short_running;
    totals.long_running += entry.used.long_running;
    totals.free += free_slots(entry);
    totals_.put(totals);
    ranks_.put(entry.rank, target);
    entries_.put(target, entry);
}

} // namespace papayafall
