#include "Sardineford/Fleet/LoadAverage.h"

#include <algorithm>
#include <cmath>

namespace sardineford::fleet {

namespace {

/// Servers' loads change many times a second: reports are averaged over this
/// time, and lose their weight in a multiple of it.
constexpr Seconds AverageTime{0.5};
constexpr Seconds WeightTime{1};
/// Largest part of the average that one report makes up.
constexpr double MaxReportWeight = 0.2;
/// A server that is slower than this is not told from one that is this slow, so
/// that it still gets some requests.
constexpr double MinTimeRatio = 0.5;
constexpr double MaxTimeRatio = 4;

} // namespace

void LoadAverage::add(const ServerLoad &load, MonoTime now) {
  double work = static_cast<double>(load.Running) + load.Waiting;
  double ratio =
      std::clamp(load.TimeRatio.value_or(1), MinTimeRatio, MaxTimeRatio);
  Trust = weight(now);
  bool isFirst = AddedAt == MonoTime{};
  double age = isFirst ? AverageTime.count() : toSeconds(now - AddedAt);
  double part =
      std::min(MaxReportWeight, 1 - std::exp(-age / AverageTime.count()));
  Work = isFirst ? work : Work + (work - Work) * part;
  TimeRatio += (ratio - TimeRatio) * part;
  Trust += (1 - Trust) * part;
  AddedAt = now;
}

double LoadAverage::weight(MonoTime now) const {
  return Trust * std::exp(-toSeconds(now - AddedAt) / WeightTime.count());
}

} // namespace sardineford::fleet
