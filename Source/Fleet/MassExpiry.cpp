#include "Fleet/MassExpiry.h"

namespace sardineford::fleet {

namespace {

/// Heartbeats that stop together expire within one heartbeat interval, which is
/// about a second.
constexpr Milliseconds Window{1'200};
/// A release or a scale-in takes a few servers at a time.
constexpr size_t MinMissing = 3;
constexpr size_t MinShareDivisor = 3;

} // namespace

bool MassExpiry::record(size_t missing, size_t known, MonoTime now) {
  while (!Recent.empty() && now - Recent.front().first > Window)
    Recent.pop_front();
  if (missing > 0)
    Recent.emplace_back(now, missing);
  size_t total = 0;
  for (const auto &[time, n] : Recent)
    total += n;
  // Those recorded before may have been removed from the known ones.
  size_t before = known + total - missing;
  return total >= MinMissing && total * MinShareDivisor > before;
}

} // namespace sardineford::fleet
