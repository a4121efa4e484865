#pragma once

#include "papayafall/core/jobs/board/job_board.hpp"

namespace papayafall::jobs {

/// Claims cells of workers in the platform's store and releases them.
///
/// A cell is claimed if it has no holder, or if its holder has neither a link to this host nor an
/// entry in the store. It is also claimed from a live holder that is leaving, or that this host
/// is better placed than. A holder that loses the store keeps its cells: its right ends only with a
/// higher token, seen in the store or at a worker, or with its own release.
class cell_controller : public job_controller {
  public:
    explicit cell_controller(job_board& board);

    std::string_view name() const noexcept override { return "cells"; }

    void on_event(job_board& board, const job_event& incoming, const clock_reading& now) override;
    void on_tick(job_board& board, const clock_reading& now) override;

  private:
    /// Claims the cell if it is this host's turn.
    void review_cell(job_board& board, const zone_name& zone, std::uint32_t number, time_point now);
    /// Claims the cell; first waits for the current workers if they are not followed.
    /// @param known claim of the cell as last seen in the store, or nullptr
    void send_claim(job_board& board, const cell_id& cell, const claim_state* known,
                    time_point now);
    void on_claim_granted(job_board& board, const cell_id& cell, store_revision revision,
                          time_point now);
    void on_claim_listed(job_board& board, const cell_id& cell, const cell_claim& claim,
                         time_point now);
    /// Drops the cell of a worker that rejected `token` because it knows a higher one.
    /// @param token 0: the present token of the session
    void on_fenced(job_board& board, const worker_id& id, fencing_token token);
    void drop_cell(job_board& board, const cell_id& cell, const char* reason);
    /// Releases the cells of a leaving host that no other host has claimed.
    void release_held_cells(job_board& board, time_point now);
    /// Drops the cells whose time for handing over workers has passed.
    void drop_released_cells(job_board& board, time_point now);

    table_writer<cell_id, held_cell> held_cells_;
    table_writer<cell_id, pending_claim> pending_claims_;
    cell_writer<time_point> workers_needed_until_;
    cell_writer<time_point> review_due_;
};

} // namespace papayafall::jobs
