#pragma once

#include "papayafall/core/jobs/board/job_board.hpp"

#include <cstdint>

namespace papayafall::jobs {

/// Places for tasks of one size on the workers of a service.
struct place_forecast {
    std::uint32_t free_now = 0; ///< at most the number that is wanted
    time_point available_at;    ///< when as many as wanted are free, if no other job waits

    auto operator<=>(const place_forecast&) const = default;
};

/// @param need   resources of one task
/// @param wanted number of tasks
/// Complexity: linear in the number of workers.
place_forecast forecast_places(const job_board& board, const service_name& service,
                               const resources& need, std::uint32_t wanted, time_point now);

} // namespace papayafall::jobs
