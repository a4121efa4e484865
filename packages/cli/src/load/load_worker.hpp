#pragma once

#include "papayafall/cli/load/load_sample.hpp"
#include "papayafall/platform/outbound/outbound_client.hpp"

#include <QObject>
#include <QTimer>

#include <functional>
#include <string>
#include <vector>

namespace papayafall::detail {

/// Something to send at an instant.
struct planned_step {
    duration at{};
    load_sending sending = load_sending::first;
    planned_request request;

    auto operator<=>(const planned_step&) const = default;
};

/// Sends one thread's share of a load run.
class load_worker : public QObject, public outbound_observer {
  public:
    /// @param steps in the order of their instants
    /// @param begin instant from which the steps count, on both clocks
    /// @param on_done called in the thread of the worker once each step has ended
    load_worker(const load_plan& plan, std::vector<planned_step> steps, const clock_reading& begin,
                const clock_source& clock, std::function<void()> on_done);

    void on_finished(outbound_call_id call, const outbound_outcome& outcome) override;

    const std::vector<load_sample>& samples() const noexcept { return samples_; }

  private:
    void send_due();
    void send(std::size_t index);
    void wait_for_next();

    const load_plan& plan_;
    std::vector<planned_step> steps_;
    clock_reading begin_;
    const clock_source* clock_;
    std::function<void()> on_done_;
    outbound_client client_;
    QTimer timer_;
    std::vector<duration> lags_;
    std::vector<load_sample> samples_;
    std::size_t next_ = 0;
};

} // namespace papayafall::detail
