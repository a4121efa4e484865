#pragma once

#include "papayafall/core/blackboard/blackboard.hpp"

namespace papayafall {

/// Keeps the index of the owned targets by load in step with `targets` and `slot_usages`.
///
/// Held by the controller that writes `slot_usages`. It calls `refresh` after each change of
/// `slot_usages` and on each `target_changed`.
class target_index_writer {
  public:
    /// @throws ownership_error when the sections of the index have a writer already
    explicit target_index_writer(blackboard& board);

    /// Brings the entry of `target` up to date. Complexity: logarithmic.
    void refresh(const blackboard& board, const target_name& target);

    /// Counts a start at `target`, for the selectors that go by the starts.
    void count_start(const blackboard& board, const target_name& target);

  private:
    void remove(const blackboard& board, const target_name& target);
    void add(const blackboard& board, const target_name& target);

    table_writer<target_rank, target_name> ranks_;
    table_writer<target_name, indexed_target> entries_;
    cell_writer<slot_totals> totals_;
};

} // namespace papayafall
