#pragma once

#include "papayafall/core/jobs/board/job_board.hpp"

#include <string>

namespace papayafall::jobs {

/// Keeps track of the zones that operators evacuate.
///
/// The requests come from the store, and from linked hosts for a host that is cut off from the
/// store. The revision of a request in the store orders them, so that a late word never replaces a
/// newer one. The store has the last word: a request that it no longer lists has ended.
class evacuation_controller : public job_controller {
  public:
    explicit evacuation_controller(job_board& board);

    std::string_view name() const noexcept override { return "evacuation"; }

    void on_event(job_board& board, const job_event& incoming, const clock_reading& now) override;

    void on_tick(job_board& /*board*/, const clock_reading& /*now*/) override {}

  private:
    void on_listed(job_board& board, const zone_evacuation_listed& listed, time_point now);
    void on_unlisted(job_board& board, const zone_name& zone, time_point now);
    /// Ends the requests that the store would have listed by now if they still held.
    void on_confirmed(job_board& board, store_revision as_of, time_point now);
    /// Applies a request unless a newer one is known, and tells the linked hosts.
    /// @param source where it came from, for the log
    void apply(job_board& board, const zone_evacuation& request, const std::string& source,
               time_point now);

    table_writer<zone_name, evacuation_state> evacuations_;
};

/// Whether operators ask that nothing more be started on the workers of a zone.
bool is_evacuated(const job_board& board, const zone_name& zone);

/// Whether a worker may get tasks of jobs that have not started yet.
bool accepts_new_jobs(const job_board& board, const worker_fields& it);

/// Whether a worker may get tasks of a job. Jobs that have started may start their remaining tasks
/// for a short time after the evacuation of the zone.
bool accepts_tasks_of(const job_board& board, const worker_fields& it, const job_state_fields& job,
                      time_point now);

} // namespace papayafall::jobs
