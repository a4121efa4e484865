#pragma once

#include "papayafall/core/jobs/board/job_board.hpp"

namespace papayafall::jobs {

/// Decides which version of the operators' configuration is in force on this host.
///
/// An older version never replaces a newer one. Linked hosts tell one another their versions, and a
/// host whose own is older asks for the newer one: it may be cut off from the store, and its next
/// requests must not be handled by an older version than one that another host has applied to its
/// jobs.
class job_configuration_controller : public job_controller {
  public:
    explicit job_configuration_controller(job_board& board);

    std::string_view name() const noexcept override { return "configuration"; }

    void on_event(job_board& board, const job_event& incoming, const clock_reading& now) override;
    void on_tick(job_board& board, const clock_reading& now) override;

  private:
    void apply(job_board& board, const configuration_read& read, time_point now);
    void record_offer(job_board& board, const configuration_offered& offered, time_point now);
    /// Asks the host with the newest version for it.
    void request_newest(job_board& board, time_point now);

    cell_writer<queue_configuration> configuration_;
    cell_writer<time_point> configuration_confirmed_at_;
    table_writer<link_number, std::uint64_t> offered_configurations_;
    cell_writer<time_point> configuration_request_due_;
};

/// Time since the store last confirmed that the configuration in force is the newest, as text for
/// log lines; "never" before the first time.
std::string configuration_age(const job_board& board, time_point now);

} // namespace papayafall::jobs
