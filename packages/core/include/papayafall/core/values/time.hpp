#pragma once

#include <chrono>
#include <cstdint>

namespace papayafall {

/// Monotonic clock of one process, with a resolution of 1 microsecond.
///
/// The core never reads a clock: the current time is passed in with each event. Instants of two
/// processes are not comparable, so messages between processes carry only remaining times.
struct monotonic_clock {
    using rep = std::int64_t;
    using period = std::micro;
    using duration = std::chrono::duration<rep, period>;
    using time_point = std::chrono::time_point<monotonic_clock>;
    static constexpr bool is_steady = true;
};

using time_point = monotonic_clock::time_point;
using duration = monotonic_clock::duration;

/// Wall-clock instant in milliseconds since the Unix epoch, as in a UUIDv7 (RFC 9562).
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

/// Deadline of an entry that never expires.
inline constexpr time_point no_deadline = time_point::max();

} // namespace papayafall
