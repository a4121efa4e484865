#pragma once

#include "papayafall/cli/load/load_sample.hpp"
#include "papayafall/platform/outbound/outbound_client.hpp"

#include <QObject>
#include <QTimer>

#include <functional>
#include <string>
#include <vector>

namespace papayafall::detail {

/// One send of a request, at an offset from the start of the run.
struct scheduled_send {
    duration offset{};
    load_send_kind kind = load_send_kind::first;
    planned_request request;

    auto operator<=>(const scheduled_send&) const = default;
};

/// Performs the sends of one thread of a load run.
class load_sender : public QObject, public outbound_observer {
  public:
    /// @param sends in ascending order of their offsets
    /// @param run_start start of the run on both clocks; the offsets count from it
    /// @param on_done called in the thread of the sender once every send has ended
    load_sender(const load_plan& plan, std::vector<scheduled_send> sends,
                const clock_reading& run_start, const clock_source& clock,
                std::function<void()> on_done);

    void on_finished(outbound_call_id call, const outbound_outcome& outcome) override;

    const std::vector<load_sample>& samples() const noexcept { return samples_; }

  private:
    void send_due_requests();
    void send(std::size_t index);
    void schedule_next_send();

    const load_plan& plan_;
    std::vector<scheduled_send> sends_;
    clock_reading run_start_;
    const clock_source* clock_;
    std::function<void()> on_done_;
    outbound_client client_;
    QTimer timer_;
    std::vector<duration> send_lags_;
    std::vector<load_sample> samples_;
    std::size_t next_send_ = 0;
};

} // namespace papayafall::detail
