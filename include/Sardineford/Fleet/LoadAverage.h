#pragma once

#include "Sardineford/Common/Time.h"
#include "Sardineford/Fleet/ServerLoad.h"

namespace sardineford::fleet {

/// Moving average of the load that a server reports.
class LoadAverage {
public:
  void add(const ServerLoad &load, MonoTime now);
  /// Weight of the average beside what this process knows by itself, 0 to 1. It
  /// grows with the number of reports, and falls with their age.
  double weight(MonoTime now) const;
  /// Running and waiting requests.
  double work() const { return Work; }
  /// Ratio of the time that work takes to the usual time.
  double timeRatio() const { return TimeRatio; }

private:
  double Work = 0;
  double TimeRatio = 1;
  double Trust = 0;
  MonoTime AddedAt{};
};

} // namespace sardineford::fleet
