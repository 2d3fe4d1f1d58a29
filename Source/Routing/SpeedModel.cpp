#include "Sardineford/Routing/SpeedModel.h"

#include <algorithm>

namespace sardineford::routing {

namespace {

/// Each new sample lets the old ones count this much less: about the last
/// hundred count.
constexpr double Forget = 0.99;
/// Number of samples that the starting values stand for.
constexpr double PriorSamples = 4;
/// Estimates never fall below this part of the starting time for a unit, so
/// that a run of lucky samples cannot make work look free.
constexpr double LeastShare = 0.05;
/// One sample counts at most this many times the estimate: stalls are no
/// measure of speed.
constexpr double LargestRatio = 4;

} // namespace

SpeedModel::SpeedModel(Seconds fixed, Seconds perUnit, double typicalUnits)
    : Fixed(fixed), PerUnit(perUnit), LeastPerUnit(perUnit * LeastShare) {
  // Two points on the starting line.
  for (double x : {0.25 * typicalUnits, 1.75 * typicalUnits}) {
    double w = PriorSamples / 2;
    double y = fixed.count() + perUnit.count() * x;
    Weight += w;
    SumX += w * x;
    SumY += w * y;
    SumXX += w * x * x;
    SumXY += w * x * y;
  }
}

void SpeedModel::observe(double units, Seconds took) {
  double y = std::min(took.count(), LargestRatio * estimate(units).count());
  Weight = Weight * Forget + 1;
  SumX = SumX * Forget + units;
  SumY = SumY * Forget + y;
  SumXX = SumXX * Forget + units * units;
  SumXY = SumXY * Forget + units * y;
  solve();
}

void SpeedModel::solve() {
  double spread = Weight * SumXX - SumX * SumX;
  double slope = LeastPerUnit.count();
  if (spread > 1e-9 * Weight * SumXX)
    slope = std::max(slope, (Weight * SumXY - SumX * SumY) / spread);
  double base = (SumY - slope * SumX) / Weight;
  if (base < 0) {
    base = 0;
    slope = std::max(LeastPerUnit.count(), SumXY / std::max(SumXX, 1e-12));
  }
  Fixed = Seconds(base);
  PerUnit = Seconds(slope);
}

Seconds SpeedModel::estimate(double units) const {
  return Fixed + PerUnit * units;
}

} // namespace sardineford::routing
