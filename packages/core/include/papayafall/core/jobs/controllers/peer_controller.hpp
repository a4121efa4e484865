#pragma once

#include "papayafall/core/jobs/board/job_board.hpp"

namespace papayafall::jobs {

/// Keeps links to the other entry hosts and reports the load of this dispatcher to them.
class peer_controller : public job_controller {
  public:
    explicit peer_controller(job_board& board);

    std::string_view name() const noexcept override { return "peers"; }

    void on_event(job_board& board, const job_event& incoming, const clock_reading& now) override;
    void on_tick(job_board& board, const clock_reading& now) override;

  private:
    void on_host_listed(job_board& board, const host_entry& entry, time_point now);
    /// Stops connecting to hosts that have been neither listed nor connected for some time.
    void forget_unlisted_peers(job_board& board, time_point now);
    void set_connected(job_board& board, const host_name& host, bool connected, time_point now);

    table_writer<host_name, peer_state> peers_;
    cell_writer<time_point> load_report_due_;
    cell_writer<load_report> published_load_;
};

/// Present load of the dispatcher of this process.
load_report own_load(const job_board& board);

} // namespace papayafall::jobs
