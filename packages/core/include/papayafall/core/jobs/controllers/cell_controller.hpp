#pragma once

#include "papayafall/core/jobs/board/job_board.hpp"

namespace papayafall::jobs {

/// Claims cells of workers in the platform's store and gives them up.
///
/// A cell is claimed where it has no holder, or where its holder can be reached neither over its
/// link nor over its entry in the store. A holder that loses the store goes on: only a higher
/// token, seen in the store or at a worker, or its own release ends its right.
class cell_controller : public job_controller {
  public:
    explicit cell_controller(job_board& board);

    std::string_view name() const noexcept override { return "cells"; }

    void on_event(job_board& board, const job_event& incoming, const clock_reading& now) override;
    void on_tick(job_board& board, const clock_reading& now) override;

  private:
    void review_cell(job_board& board, const zone_name& zone, std::uint32_t number, time_point now);
    void send_claim(job_board& board, const cell_id& cell, const claim_state* known,
                    time_point now);
    void on_claim_granted(job_board& board, const cell_id& cell, store_revision revision,
                          time_point now);
    void on_claim_listed(job_board& board, const cell_id& cell, const cell_claim& claim,
                         time_point now);
    void on_fenced(job_board& board, const worker_id& at, fencing_token token);
    void drop_cell(job_board& board, const cell_id& cell, const char* reason);
    void release_held_cells(job_board& board, time_point now);
    void drop_released_cells(job_board& board, time_point now);

    table_writer<cell_id, held_cell> held_cells_;
    table_writer<cell_id, pending_claim> pending_claims_;
    cell_writer<time_point> review_due_;
};

} // namespace papayafall::jobs
