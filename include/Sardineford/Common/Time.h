#pragma once

#include <chrono>

namespace sardineford {

using Milliseconds = std::chrono::milliseconds;
using Microseconds = std::chrono::microseconds;
using Seconds = std::chrono::duration<double>;

/// Clock for leases, deadlines and timeouts: monotonic, comparable on one
/// machine only.
using MonoClock = std::chrono::steady_clock;
using MonoTime = MonoClock::time_point;

/// Wall clock; used for display and for the hybrid logical clock only.
using WallClock = std::chrono::system_clock;
using WallTime = WallClock::time_point;

/// Converts any duration to whole milliseconds, rounding down.
template <class Rep, class Period>
constexpr Milliseconds toMilliseconds(std::chrono::duration<Rep, Period> d) {
  return std::chrono::duration_cast<Milliseconds>(d);
}

/// Converts any duration to seconds as a floating point number.
template <class Rep, class Period>
constexpr double toSeconds(std::chrono::duration<Rep, Period> d) {
  return std::chrono::duration_cast<Seconds>(d).count();
}

/// Converts seconds as a floating point number to the clock's duration.
inline MonoClock::duration fromSeconds(double s) {
  return std::chrono::duration_cast<MonoClock::duration>(Seconds(s));
}

} // namespace sardineford
