#pragma once

#include "deployment.hpp"

namespace review {

/// Plays a case.
/// @param trouble whether the disruption comes; without it the rule must hold
/// @return whether the rule was broken
using scenario = bool (*)(deployment& site, bool trouble);

/// A daemon that is stopped with SIGTERM leaves requests on kept connections without an answer.
bool play_lost_at_shutdown(deployment& site, bool trouble);

/// A runner that came back as another kind gets tasks that require its former label.
bool play_label_of_former_incarnation(deployment& site, bool trouble);

/// A daemon that stood still starts jobs that their clients have submitted elsewhere since.
bool play_stale_requests_after_freeze(deployment& site, bool trouble);

/// A job that is cancelled at another daemon of its client's new zone goes on.
bool play_cancel_after_shift(deployment& site, bool trouble);

/// A request within all limits ends each daemon that delegates it.
bool play_crash_by_request(deployment& site, bool trouble);

} // namespace review
