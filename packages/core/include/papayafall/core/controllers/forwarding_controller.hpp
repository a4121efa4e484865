#pragma once

#include "papayafall/core/blackboard/blackboard.hpp"
#include "papayafall/core/controllers/controller.hpp"
#include "papayafall/core/identity/home.hpp"

namespace papayafall {

/// Takes keyed requests and cancellations to the home of their key, and the answers back.
///
/// Reads membership, seats and configuration; writes `forwarded_requests`. It starts nothing. A request
/// whose link failed is forwarded again while its home is alive, which the home recognises by the
/// key. Where no home can be found or reached the outcome is unknown.
class forwarding_controller : public controller {
  public:
    explicit forwarding_controller(blackboard& board);

    std::string_view name() const noexcept override { return "forwarding"; }

    void on_event(blackboard& board, const event& incoming, const clock_reading& now) override;
    void on_tick(blackboard& board, const clock_reading& now) override;

  private:
    void receive(blackboard& board, const request_origin& origin, const request& content,
                 time_point now);
    void cancel(blackboard& board, const cancel_received& asked, time_point now);
    void forward(blackboard& board, const forward_state& state, const home_at_peer& home,
                 time_point now);
    void retry(blackboard& board, correlation_id correlation, time_point now);
    void finish(blackboard& board, correlation_id correlation, const answer& result);
    correlation_id next_correlation(const blackboard& board);

    cell_writer<correlation_id> last_correlation_;
    table_writer<correlation_id, forward_state> forwards_;
};

} // namespace papayafall
