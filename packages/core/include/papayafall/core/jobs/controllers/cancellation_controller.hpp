#pragma once

#include "papayafall/core/jobs/board/job_board.hpp"

#include <set>

namespace papayafall::jobs {

/// Cancels jobs at the request of their callers, whichever host the request reaches.
///
/// A cancelled job is remembered for as long as copies of its request may arrive, and passed on
/// once over all links, also to hosts that are linked later. Each host that learns of it ends what
/// it has open of the job and starts no copy.
///
/// If this host has nothing of the job open, the hosts that may run it are asked before the caller
/// is answered.
class cancellation_controller : public job_controller {
  public:
    explicit cancellation_controller(job_board& board);

    std::string_view name() const noexcept override { return "cancellations"; }

    void on_event(job_board& board, const job_event& incoming, const clock_reading& now) override;
    void on_tick(job_board& board, const clock_reading& now) override;

  private:
    void cancel_for_caller(job_board& board, const job_status_requested& request, time_point now);
    /// Asks the hosts that may run the job, and answers the caller later.
    void ask_other_hosts(job_board& board, const job_status_requested& request, time_point now);
    void on_answer(job_board& board, const job_cancellation_answered& answered, time_point now);
    /// Ends what this host has open of a cancelled job, and passes on what is new.
    /// @return whether this host had it open, or knows of a host that had
    bool remember(job_board& board, const job_cancellation& cancellation, time_point now);
    /// Forgets the entry that is nearest to its end if there are too many.
    void make_room(job_board& board);
    static void send_all(job_board& board, link_number link);
    /// Asks a host that was linked while callers wait for its answer.
    static void ask_connected_host(job_board& board, const host_name& host);
    void answer_callers(job_board& board, const job_id& job, job_status status);
    void answer_all_callers(job_board& board);

    table_writer<job_id, cancelled_job> cancelled_jobs_;
    table_writer<job_id, open_cancellation> open_cancellations_;
};

/// Whether this host took the job from a caller or runs it.
bool is_open(const job_board& board, const job_id& job);

/// Whether the job was cancelled lately.
bool is_cancelled(const job_board& board, const job_id& job);

/// Hosts whose answers callers wait for.
std::set<host_name> awaited_hosts(const job_board& board);

} // namespace papayafall::jobs
