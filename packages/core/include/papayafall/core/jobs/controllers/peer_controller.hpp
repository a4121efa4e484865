#pragma once

#include "papayafall/core/jobs/board/job_board.hpp"

namespace papayafall::jobs {

/// Keeps links to the dispatchers that this host needs and reports its own load to the hosts that
/// are linked to it.
///
/// A host is linked to the holders of the cells of its own zone, to the hosts that it hands cells
/// over to or takes them over from, and to a limited number of dispatchers of other zones, so that
/// the number of links does not grow with the fleet.
class peer_controller : public job_controller {
  public:
    explicit peer_controller(job_board& board);

    std::string_view name() const noexcept override { return "peers"; }

    void on_event(job_board& board, const job_event& incoming, const clock_reading& now) override;
    void on_tick(job_board& board, const clock_reading& now) override;

  private:
    /// Opens the links that are needed and missing, and closes those not needed for some time.
    void review_links(job_board& board, time_point now);
    void close_unneeded_links(job_board& board, time_point now);
    void set_connected(job_board& board, const host_name& host, bool connected, time_point now);

    table_writer<host_name, peer_state> peers_;
    cell_writer<time_point> load_report_due_;
    cell_writer<load_report> published_load_;
};

/// Present load of the dispatcher of this process.
load_report own_load(const job_board& board);

} // namespace papayafall::jobs
