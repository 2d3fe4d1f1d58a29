#include "Sardineford/Routing/SpeedModel.h"

#include <algorithm>

namespace sardineford::routing {

namespace {

/// Factor by which each new sample reduces the weight of the older ones; about
/// the last hundred samples determine the estimate.
constexpr double ForgettingFactor = 0.99;
/// Weight of the initial values, in samples.
constexpr double PriorSamples = 4;
/// Minimum of the time per unit as a ratio of its initial value, so that a
/// series of unusually fast samples cannot make work appear to take no time.
constexpr double MinPerUnitRatio = 0.05;
/// Maximum of a sample as a ratio of the estimate: a stall does not show the
/// speed of an engine.
constexpr double MaxSampleRatio = 4;

} // namespace

SpeedModel::SpeedModel(Seconds fixed, Seconds perUnit, double typicalUnits)
    : Fixed(fixed), PerUnit(perUnit), MinPerUnit(perUnit * MinPerUnitRatio) {
  // The initial values enter as two samples on their line.
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

void SpeedModel::observe(double units, Seconds duration) {
  double y =
      std::min(duration.count(), MaxSampleRatio * estimate(units).count());
  Weight = Weight * ForgettingFactor + 1;
  SumX = SumX * ForgettingFactor + units;
  SumY = SumY * ForgettingFactor + y;
  SumXX = SumXX * ForgettingFactor + units * units;
  SumXY = SumXY * ForgettingFactor + units * y;
  fit();
}

void SpeedModel::fit() {
  double determinant = Weight * SumXX - SumX * SumX;
  double slope = MinPerUnit.count();
  if (determinant > 1e-9 * Weight * SumXX)
    slope = std::max(slope, (Weight * SumXY - SumX * SumY) / determinant);
  double intercept = (SumY - slope * SumX) / Weight;
  if (intercept < 0) {
    intercept = 0;
    slope = std::max(MinPerUnit.count(), SumXY / std::max(SumXX, 1e-12));
  }
  Fixed = Seconds(intercept);
  PerUnit = Seconds(slope);
}

Seconds SpeedModel::estimate(double units) const {
  return Fixed + PerUnit * units;
}

} // namespace sardineford::routing
