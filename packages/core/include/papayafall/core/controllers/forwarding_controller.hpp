#pragma once

#include "papayafall/core/blackboard/blackboard.hpp"
#include "papayafall/core/controllers/controller.hpp"
#include "papayafall/core/identity/home.hpp"

namespace papayafall {

/// Forwards keyed requests and cancellations to the home of their key and returns the answers to
/// the callers.
///
/// Reads membership, seats and configuration; writes `forwarded_requests`. It starts no work
/// itself. If the link to the home fails while the home is alive, the request is forwarded again;
/// the home recognises the duplicate by its key. If no home can be found or reached, the outcome is
/// reported as unknown.
class forwarding_controller : public controller {
  public:
    explicit forwarding_controller(blackboard& board);

    std::string_view name() const noexcept override { return "forwarding"; }

    void on_event(blackboard& board, const event& incoming, const clock_reading& now) override;
    void on_tick(blackboard& board, const clock_reading& now) override;

  private:
    /// Forwards a request whose home is a peer. Requests without a key and requests homed here are
    /// left to `submission_controller`.
    void route_request(blackboard& board, const request_origin& origin, const request& content,
                       time_point now);
    /// Forwards a caller's cancellation to the home of its key, without retries.
    void forward_cancellation(blackboard& board, const cancel_received& received, time_point now);
    /// Sends a request to its home under a new correlation and waits for the answer until its
    /// deadline, at most for `forward_timeout`.
    void forward_to_home(blackboard& board, const forward_state& state, const peer_home& home,
                         time_point now);
    /// Forwards a request again after its link failed, up to `max_forward_attempts` times in
    /// all.
    void retry_forward(blackboard& board, correlation_id correlation, time_point now);
    /// Answers the caller and erases the forwarded request; does nothing if it is unknown.
    void finish_forward(blackboard& board, correlation_id correlation, const answer& result);
    correlation_id next_correlation(const blackboard& board);

    cell_writer<correlation_id> last_correlation_;
    table_writer<correlation_id, forward_state> forwarded_requests_;
};

} // namespace papayafall
