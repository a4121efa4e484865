#pragma once

#include "papayafall/core/jobs/board/job_board.hpp"

namespace papayafall::jobs {

/// Tracks the process from start to end: readiness, connection to the store, graceful stop. A
/// leaving process keeps answering until its calls, jobs and sessions have ended or the stop
/// deadline has passed.
class job_lifecycle_controller : public job_controller {
  public:
    explicit job_lifecycle_controller(job_board& board);

    std::string_view name() const noexcept override { return "lifecycle"; }

    void on_event(job_board& board, const job_event& incoming, const clock_reading& now) override;
    void on_tick(job_board& board, const clock_reading& now) override;

  private:
    void begin_leaving(job_board& board, time_point stop_by, time_point now);

    cell_writer<lifecycle_state> state_;
    cell_writer<bool> published_readiness_;
};

} // namespace papayafall::jobs
