#include "papayafall/core/jobs/state/job_state.hpp"

namespace papayafall::jobs {

waiting_group waiting_group_of(const job_order_fields& order, bool started) noexcept
{
    if (order.priority == 0) {
        return started ? waiting_group::urgent_started : waiting_group::urgent;
    }
    return started ? waiting_group::other_started : waiting_group::other;
}

} // namespace papayafall::jobs
