#pragma once

#include "papayafall/core/jobs/board/job_board.hpp"

namespace papayafall::jobs {

/// Records what the platform's store lists: workers, entry hosts and claims.
///
/// Changes of workers are followed only by hosts that hold a cell or are about to claim one: each
/// worker changes its entry all the time, which would cost small hosts most of their processor
/// time.
///
/// Workers whose entries lapsed during an outage of the store are kept for a short time, in which
/// they can list themselves again.
class directory_controller : public job_controller {
  public:
    explicit directory_controller(job_board& board);

    std::string_view name() const noexcept override { return "directory"; }

    void on_event(job_board& board, const job_event& incoming, const clock_reading& now) override;
    void on_tick(job_board& board, const clock_reading& now) override;

  private:
    void review_view_of_workers(job_board& board, time_point now);
    void record_worker(job_board& board, const worker& entry);
    void mark_worker_unlisted(job_board& board, const worker_id& id, time_point now);
    void record_claim(job_board& board, const cell_id& cell, const cell_claim& claim,
                      time_point now);
    void mark_claim_unlisted(job_board& board, const cell_id& cell, time_point now);

    table_writer<worker_id, worker> workers_;
    table_writer<worker_id, time_point> unlisted_workers_;
    cell_writer<worker_view> view_of_workers_;
    table_writer<host_name, host_entry> hosts_;
    table_writer<cell_id, claim_state> stored_claims_;
};

} // namespace papayafall::jobs
