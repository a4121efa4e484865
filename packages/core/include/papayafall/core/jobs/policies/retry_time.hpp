#pragma once

#include "papayafall/core/jobs/values/job_identifiers.hpp"
#include "papayafall/core/values/time.hpp"

namespace papayafall::jobs {

/// Returns when the caller of a refused job may submit it again. Callers that were refused at the
/// same time are told different instants, so that they do not return together.
/// @param room_at when room for the job is expected
time_point retry_time(const job_id& job, time_point room_at, time_point now);

} // namespace papayafall::jobs
