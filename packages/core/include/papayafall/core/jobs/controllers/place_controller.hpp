#pragma once

#include "papayafall/core/jobs/board/job_board.hpp"

#include <optional>

namespace papayafall::jobs {

/// Keeps the index of places up to date with sessions, entries and loads of the workers and with
/// the cells that are held.
///
/// It runs after the controllers that write these sections. Within an event or a tick the index is
/// therefore that of the event before; who uses it for a decision checks the worker itself again.
class place_controller : public job_controller {
  public:
    explicit place_controller(job_board& board);

    std::string_view name() const noexcept override { return "places"; }

    void on_event(job_board& board, const job_event& incoming, const clock_reading& now) override;
    void on_tick(job_board& board, const clock_reading& now) override;

  private:
    /// Indexes again the workers that were changed. Complexity: logarithmic in the number of
    /// workers for each of them; linear if the held cells or the evacuated zones have changed.
    void refresh(job_board& board);
    void index_worker(job_board& board, const worker_id& id);
    void add_to_sums(job_board& board, const indexed_worker& it, bool added);
    /// Logs how much of the free room of each service is of use to tasks like the recent ones.
    void log_room(job_board& board);

    table_changes<worker_id, worker_session> changed_sessions_;
    table_changes<worker_id, worker> changed_entries_;
    table_changes<worker_id, worker_load> changed_loads_;
    table_changes<cell_id, held_cell> changed_cells_;
    table_changes<zone_name, evacuation_state> changed_evacuations_;
    table_writer<worker_id, indexed_worker> indexed_workers_;
    table_writer<free_capacity_key, resources> free_capacities_;
    table_writer<service_name, service_capacity> service_capacities_;
    cell_writer<time_point> room_log_due_;
};

/// Entry of a worker that may be given new runs once its session is ready, or nullptr.
const worker* usable_entry(const job_board& board, const worker_id& id,
                           const worker_session& session);

/// Describes a worker for the index from what the board says of it now.
/// @return nothing if the worker is given no runs and counts for no capacity
std::optional<indexed_worker> describe_worker(const job_board& board, const worker_id& id);

} // namespace papayafall::jobs
