#include "place_forecast.hpp"

#include "papayafall/core/jobs/controllers/session_controller.hpp"

#include <algorithm>

namespace papayafall::jobs {

namespace {

/// Number of tasks that fit into the free resources together, up to `limit`.
std::uint32_t places_in(resources free, const resources& need, std::uint32_t limit)
{
    std::uint32_t n = 0;
    while (n < limit && need.fits(free)) {
        free = free - need;
        ++n;
    }
    return n;
}

} // namespace

place_forecast forecast_places(const job_board& board, const service_name& service,
                               const resources& need, std::uint32_t wanted, time_point now)
{
    std::uint32_t free = 0;
    for (const auto& it : board.sessions) {
        if (free == wanted) {
            break;
        }
        const worker* entry = current_entry(board, it.key, it.value);
        if (entry == nullptr || it.value.phase != session_phase::ready ||
            (*entry)->service != service || (*entry)->draining) {
            continue;
        }
        const worker_load* load = board.worker_loads.find(it.key);
        const resources used = load == nullptr ? resources() : load->used;
        free += places_in((*entry)->capacity - used, need, wanted - free);
    }
    return {.free_now = free, .available_at = now};
}

} // namespace papayafall::jobs
