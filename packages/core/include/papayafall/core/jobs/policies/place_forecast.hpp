#pragma once

#include "papayafall/core/jobs/board/job_board.hpp"

#include <cstdint>
#include <optional>

namespace papayafall::jobs {

/// Room for equal tasks on the workers of a service.
struct place_forecast {
    std::uint32_t free_now = 0; ///< places that are free, counted up to the wanted number
    /// When the wanted number of places is free, if no other task takes them; `no_deadline`: not
    /// foreseen, because the runs in progress do not leave as many places.
    time_point available_at = no_deadline;

    auto operator<=>(const place_forecast&) const = default;
};

/// Foretells when places for `wanted` tasks are free on the workers of this host. Waiting tasks are
/// ignored. Workers to avoid count only if there are no others.
///
/// @param need   resources of each task
/// @param wanted number of tasks
/// Complexity: linear in `wanted` while so many places are free; otherwise also linear in the
/// number of runs in progress, up to a limit.
place_forecast forecast_places(const job_board& board, const service_name& service,
                               const resources& need, std::uint32_t wanted, time_point now);

/// The place for one task that comes free next.
struct next_place {
    worker_id worker;
    time_point available_at; ///< when the worker is expected to have the room

    auto operator<=>(const next_place&) const = default;
};

/// Foretells on which worker a task that fits nowhere now has room first, under the same conditions
/// as `forecast_places`.
std::optional<next_place> soonest_place(const job_board& board, const service_name& service,
                                        const resources& need, time_point now);

/// Instant at which a run is expected to have ended. One that takes longer than foreseen is
/// expected to go on for a part of the time that it has taken.
time_point expected_end_of(const run_state& run, const job_parameters& parameters, time_point now);

} // namespace papayafall::jobs
