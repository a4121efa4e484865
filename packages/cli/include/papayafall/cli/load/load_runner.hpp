#pragma once

#include "papayafall/cli/load/load_sample.hpp"
#include "papayafall/platform/clock/clock_source.hpp"

#include <vector>

namespace papayafall {

/// Measures the shortest round-trip time of a request that needs no target (`GET /healthz`) to the
/// first host. Requires a QCoreApplication. Blocks until all probes have ended.
/// @throws platform_error if no probe is answered
duration measure_round_trip(const load_plan& plan, const clock_source& clock);

/// Sends `requests` at their planned instants, independently of the answers to earlier ones (open
/// loop), and blocks until each has ended. Runs `plan.thread_count` threads with an event loop
/// each. Complexity: linear in the number of requests.
/// @return one sample for each send
std::vector<load_sample> run_load(const load_plan& plan,
                                  const std::vector<planned_request>& requests,
                                  const clock_source& clock);

} // namespace papayafall
