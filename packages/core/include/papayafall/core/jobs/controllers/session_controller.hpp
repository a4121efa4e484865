#pragma once

#include "papayafall/core/jobs/board/job_board.hpp"

namespace papayafall::jobs {

/// Manages the sessions with the workers of this host's cells: takes workers over, extends the
/// leases of their runs, collects the ends of runs, and releases workers to a new holder.
///
/// A lease covers every run on a worker. It is therefore extended only once no run of a previous
/// dispatcher is left there.
class session_controller : public job_controller {
  public:
    explicit session_controller(job_board& board);

    std::string_view name() const noexcept override { return "sessions"; }

    void on_event(job_board& board, const job_event& incoming, const clock_reading& now) override;
    void on_tick(job_board& board, const clock_reading& now) override;

  private:
    void open_cell_sessions(job_board& board, const cell_id& cell, time_point now);
    void open_session(job_board& board, const worker_fields& entry, const held_cell& held,
                      time_point now);
    void close_cell_sessions(job_board& board, const cell_id& cell);
    void close_session(job_board& board, const worker_id& id);
    void on_worker_listed(job_board& board, const worker& entry, time_point now);
    /// Stops waiting for a previous holder that can no longer release its workers.
    void on_previous_holder_lost(job_board& board, const host_name& host, time_point now);
    void on_report_received(job_board& board, const report_received& received, time_point now);
    void on_report_failed(job_board& board, const report_failed& failed, time_point now);
    /// A worker that refused a start gets no other before it has reported.
    void on_start_refused(job_board& board, const start_answered& answered, time_point now);
    void poll_all_workers(job_board& board, time_point now);
    /// Requests a report of the worker's runs without extending their lease.
    void poll_worker(job_board& board, const worker_id& id, worker_session session, time_point now);
    /// Sends the calls that are due: polls a worker that is not ready, keeps one report call to a
    /// ready one in flight while it has runs.
    void maintain_session(job_board& board, const worker_id& id, const worker_session& session,
                          time_point now);
    /// Releases a worker without runs to the new holder of its cell.
    /// @return whether the session was closed
    bool release_idle_worker(job_board& board, const worker_id& id, const worker_session& session);
    /// Stops runs that this host did not start.
    void stop_stray_runs(job_board& board, const worker_id& id, const worker_session& session,
                         const std::vector<run_id>& stray_runs, time_point now);

    table_writer<worker_id, worker_session> sessions_;
};

/// Address and fencing token for a call to a worker of this host.
worker_address worker_address_of(const job_board& board, const worker_id& id,
                                 const worker_session& session);

/// Entry of a worker, if it describes the process that the session is with. A restarted worker may
/// have other labels and another capacity, so that the entry of its former process says nothing.
/// @return nullptr if the worker is not listed, or only as its former process
const worker* current_entry(const job_board& board, const worker_id& id,
                            const worker_session& session);

} // namespace papayafall::jobs
