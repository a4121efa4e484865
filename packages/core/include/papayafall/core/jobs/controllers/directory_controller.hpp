#pragma once

#include "papayafall/core/jobs/board/job_board.hpp"

namespace papayafall::jobs {

/// Keeps what the platform's store says: the configuration, workers, entry hosts and claims.
///
/// Entries of workers that lapsed while the store was away get a short time to come back. The
/// configuration never goes back to an older version.
class directory_controller : public job_controller {
  public:
    explicit directory_controller(job_board& board);

    std::string_view name() const noexcept override { return "directory"; }

    void on_event(job_board& board, const job_event& incoming, const clock_reading& now) override;
    void on_tick(job_board& board, const clock_reading& now) override;

  private:
    void read_configuration(job_board& board, const queue_configuration& configuration);
    void list_worker(job_board& board, const worker& entry);
    void unlist_worker(job_board& board, const worker_id& id, time_point now);
    void list_claim(job_board& board, const cell_id& cell, const cell_claim& claim, time_point now);
    void unlist_claim(job_board& board, const cell_id& cell, time_point now);

    cell_writer<queue_configuration> queues_;
    table_writer<worker_id, worker> workers_;
    table_writer<worker_id, time_point> vanished_workers_;
    table_writer<host_name, host_entry> hosts_;
    table_writer<cell_id, claim_state> claims_;
};

} // namespace papayafall::jobs
