#pragma once

#include "Sardineford/Common/Time.h"

namespace sardineford::routing {

/// Estimates the time of a phase as a fixed time plus a time per unit of work.
/// Both are fitted to the observed times by least squares with exponential
/// forgetting, because the speeds of engines are not configured and change at
/// run time.
class SpeedModel {
public:
  /// The initial values count as a few samples around the typical number of
  /// units.
  SpeedModel(Seconds fixed, Seconds perUnit, double typicalUnits);

  void observe(double units, Seconds duration);
  Seconds estimate(double units) const;
  Seconds fixed() const { return Fixed; }
  Seconds perUnit() const { return PerUnit; }

private:
  void fit();

  /// Weighted sums over the samples: x is the units, y the seconds.
  double Weight = 0;
  double SumX = 0;
  double SumY = 0;
  double SumXX = 0;
  double SumXY = 0;
  Seconds Fixed;
  Seconds PerUnit;
  Seconds MinPerUnit;
};

} // namespace sardineford::routing
