#pragma once

#include "papayafall/core/blackboard/blackboard.hpp"

namespace papayafall {

/// Maintains the index that orders the owned targets by load, together with its sums.
///
/// Owned by the controller that writes `slot_usages`, which calls `refresh` after each change of
/// that section and on each `target_changed`.
class target_index_writer {
  public:
    /// @throws ownership_error if the sections of the index already have a writer
    explicit target_index_writer(blackboard& board);

    /// Recomputes the entry of `target` from `targets` and `slot_usages`.
    /// Complexity: logarithmic in the number of owned targets.
    void refresh(const blackboard& board, const target_name& target);

    /// Counts a start at `target`, for target selectors that depend on the starts so far.
    void count_start(const blackboard& board, const target_name& target);

  private:
    /// Removes the entry of `target`, if there is one, and subtracts it from the sums.
    void remove(const blackboard& board, const target_name& target);
    /// Adds an entry for `target`, which must not have one, and adds it to the sums.
    void add(const blackboard& board, const target_name& target);

    table_writer<target_rank, target_name> ranks_;
    table_writer<target_name, indexed_target> entries_;
    cell_writer<slot_totals> totals_;
};

} // namespace papayafall
