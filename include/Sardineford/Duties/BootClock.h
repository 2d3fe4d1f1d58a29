#pragma once

#include <chrono>

#include <ctime>

namespace sardineford::duties {

/// CLOCK_BOOTTIME: monotonic, and goes on while the instance is suspended,
/// unlike the steady clock.
struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  // The name is that of the standard's clocks.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;

  static time_point now() {
    timespec t{};
    clock_gettime(CLOCK_BOOTTIME, &t);
    return time_point(std::chrono::seconds(t.tv_sec) +
                      std::chrono::nanoseconds(t.tv_nsec));
  }
};

using BootTime = BootClock::time_point;

} // namespace sardineford::duties
