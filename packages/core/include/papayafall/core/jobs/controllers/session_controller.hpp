#pragma once

#include "papayafall/core/jobs/board/job_board.hpp"

namespace papayafall::jobs {

/// Speaks for this host to the workers of its cells: takes them over, keeps the leases of their
/// runs, reads which runs have ended, and hands them over.
///
/// A lease covers everything that runs on a worker, so that it is extended only once no run of a
/// former dispatcher is left there.
class session_controller : public job_controller {
  public:
    explicit session_controller(job_board& board);

    std::string_view name() const noexcept override { return "sessions"; }

    void on_event(job_board& board, const job_event& incoming, const clock_reading& now) override;
    void on_tick(job_board& board, const clock_reading& now) override;

  private:
    void acquire(job_board& board, const cell_id& cell, time_point now);
    void open(job_board& board, const worker_fields& entry, const held_cell& held, time_point now);
    void lose_cell(job_board& board, const cell_id& cell);
    void close(job_board& board, const worker_id& id);
    void list(job_board& board, const worker& entry, time_point now);
    void former_lost(job_board& board, const host_name& host, time_point now);
    void read(job_board& board, const report_received& received, time_point now);
    void fail(job_board& board, const report_failed& failed, time_point now);
    void suspend(job_board& board, time_point now);
    /// Asks for the runs of the worker without extending them.
    void look(job_board& board, const worker_id& id, worker_session session, time_point now);
    void keep(job_board& board, const worker_id& id, const worker_session& session, time_point now);
    bool release(job_board& board, const worker_id& id, const worker_session& session);
    void stop_strays(job_board& board, const worker_id& id, const worker_session& session,
                     const std::vector<run_id>& strays, time_point now);

    table_writer<worker_id, worker_session> sessions_;
};

/// Where an order for a worker of this host goes.
worker_address address_of(const job_board& board, const worker_id& id,
                          const worker_session& session);

} // namespace papayafall::jobs
