#pragma once

#include "Sardineford/Common/Time.h"

namespace sardineford::routing {

/// Learns how long a phase takes from what was observed: a fixed time and a
/// time for each unit of work, by least squares that forget old samples.
/// Answers loads whose speeds nobody has configured, and engines that become
/// slower or faster while running.
class SpeedModel {
public:
  /// The starting values hold until samples outweigh them.
  SpeedModel(Seconds fixed, Seconds perUnit, double typicalUnits);

  void observe(double units, Seconds took);
  Seconds estimate(double units) const;
  Seconds fixed() const { return Fixed; }
  Seconds perUnit() const { return PerUnit; }

private:
  void solve();

  double Weight = 0;
  double SumX = 0;
  double SumY = 0;
  double SumXX = 0;
  double SumXY = 0;
  Seconds Fixed;
  Seconds PerUnit;
  Seconds LeastPerUnit;
};

} // namespace sardineford::routing
