#pragma once

#include "papayafall/core/jobs/board/job_board.hpp"

namespace papayafall::jobs {

/// Learns how fast each worker is from the run times of its runs.
///
/// A worker without runs counts as fast as the workers that share a label with it, such as its
/// type. A restarted worker starts anew from there, since it may be another machine.
class speed_controller : public job_controller {
  public:
    explicit speed_controller(job_board& board);

    std::string_view name() const noexcept override { return "speeds"; }

    void on_event(job_board& board, const job_event& incoming, const clock_reading& now) override;
    void on_tick(job_board& board, const clock_reading& now) override;

  private:
    void record_run(job_board& board, const run_time_measured& it);
    /// Forgets workers that are not listed any more.
    void forget_unlisted(job_board& board);

    table_writer<worker_id, slowness_estimate> worker_slowness_;
    table_writer<label_name, slowness_estimate> label_slowness_;
    cell_writer<time_point> speed_review_due_;
};

/// Estimate for workers like this one: that of the label whose workers differ least, or of all
/// workers.
slowness_estimate slowness_of_similar_workers(const job_board& board, const worker_fields& it);

/// Run time on a worker in relation to the declared one; 1: as declared.
double slowness_of(const job_board& board, const worker_fields& it);

/// Slowness of the fastest group of workers that share a label; 1 if none is known.
double least_slowness(const job_board& board);

/// Time from the start call to the report of the end for a run on a worker of that slowness.
duration expected_run_time_at(double slowness, duration declared);

} // namespace papayafall::jobs
