#include "papayafall/core/policies/target_selector.hpp"

#include "papayafall/core/blackboard/blackboard.hpp"
#include "papayafall/core/values/stable_hash.hpp"

#include <iterator>
#include <string>

namespace papayafall {

namespace {

/// Returns the first target with a free slot in the order of names, starting at `from` and wrapping
/// around after the last name.
std::optional<target_name> next_free_target(const blackboard& board, const target_name& from)
{
    const auto& entries = board.indexed_targets;
    for (auto it = entries.lower_bound(from); it != entries.end(); ++it) {
        if (!it->value.full()) {
            return it->key;
        }
    }
    for (const auto& it : entries) {
        if (!it.value.full()) {
            return it.key;
        }
        if (it.key == from) {
            break;
        }
    }
    return std::nullopt;
}

} // namespace

std::optional<target_name> least_loaded_target::select(const work_item& /*work*/,
                                                       const blackboard& board,
                                                       const clock_reading& /*now*/) const
{
    const auto best = board.targets_by_load.begin();
    if (best == board.targets_by_load.end() || best->key.full) {
        return std::nullopt;
    }
    return best->value;
}

std::optional<target_name> round_robin_target::select(const work_item& /*work*/,
                                                      const blackboard& board,
                                                      const clock_reading& /*now*/) const
{
    // appending a null character gives the next possible name
    return next_free_target(board,
                            target_name(board.target_slot_totals->last_started.text() + '\0'));
}

std::optional<target_name> random_target::select(const work_item& /*work*/, const blackboard& board,
                                                 const clock_reading& /*now*/) const
{
    if (board.indexed_targets.empty()) {
        return std::nullopt;
    }
    const std::uint64_t draw = stable_hash(std::to_string(board.target_slot_totals->starts));
    const auto position = static_cast<std::ptrdiff_t>(draw % board.indexed_targets.size());
    return next_free_target(board, std::next(board.indexed_targets.begin(), position)->key);
}

std::optional<target_name> least_in_flight_target::select(const work_item& /*work*/,
                                                          const blackboard& board,
                                                          const clock_reading& /*now*/) const
{
    const auto best = board.targets_by_load.begin();
    if (best == board.targets_by_load.end()) {
        return std::nullopt;
    }
    return best->value;
}

} // namespace papayafall
