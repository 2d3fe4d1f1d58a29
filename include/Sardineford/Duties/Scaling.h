#pragma once

#include "Sardineford/Common/Time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sardineford::duties {

/// Bounds and prices of the servers that may be ordered for one service. The
/// bounds hold for each failure domain.
struct ScalingBounds {
  unsigned Min = 0;
  unsigned Max = 0;
  /// Time after an order until a new server serves.
  Milliseconds BootTime{0};
  /// Price of a second of a server by failure domain; 1 where none is named.
  std::map<std::string, double> Prices;

  bool operator==(const ScalingBounds &) const = default;
};

/// Work that the requests of all processes gave the servers of one service,
/// averaged over an interval.
struct ServiceDemand {
  /// Engine time spent on prefills, in seconds of one engine a second.
  double PrefillLoad = 0;
  /// Requests that were in flight at the servers.
  double RequestsInFlight = 0;
};

/// Work that this process gave the servers of one service since it started.
struct WorkDone {
  /// Estimated time that engines spent on prefills.
  Seconds Prefills{0};
  /// Sum of the times that requests were in flight at a server.
  Seconds InFlight{0};
};

/// The servers of a service in one failure domain.
struct DomainServers {
  std::string FailureDomain;
  /// Servers that run and do not leave.
  unsigned Present = 0;
  /// Number in the last order; empty before the first one.
  std::optional<unsigned> Ordered;
};

/// What the number of servers is decided on.
struct ScalingInput {
  ScalingBounds Bounds;
  unsigned SlotsPerServer = 1;
  std::vector<DomainServers> Domains;
  /// Highest demand of the intervals over which it is remembered; empty while
  /// too few of them have been observed.
  std::optional<ServiceDemand> PeakDemand;
  /// Time since an order last changed a number; large if none did.
  Milliseconds SinceLastChange{0};
};

/// Number of servers to have in one failure domain.
struct DomainOrder {
  std::string FailureDomain;
  unsigned Servers = 0;

  bool operator==(const DomainOrder &) const = default;
};

/// Returns how many servers the demand needs in all failure domains together,
/// so that requests find an engine that can begin with them within their
/// objectives, also while the demand swings within the boot time of a server.
unsigned neededServers(const ServiceDemand &peak, unsigned slotsPerServer);

/// Decides how many servers a service should have in each failure domain under
/// a demand that swings between long prompts and long answers. The number rises
/// at once and falls in steps, never below what the remembered peak needs.
/// Returns only the failure domains whose number changes.
std::vector<DomainOrder> decideServers(const ScalingInput &input);

/// Remembers the demand of the last intervals. The peak of them covers swings
/// whose period is longer than one interval.
class DemandHistory {
public:
  /// Records the demand of an interval that has ended.
  void record(const ServiceDemand &demand, MonoTime now);
  /// Returns the highest demand of each kind; empty until enough intervals have
  /// been observed without a gap.
  std::optional<ServiceDemand> peak(MonoTime now) const;

private:
  struct Interval {
    MonoTime At{};
    ServiceDemand Demand;
  };

  std::deque<Interval> Intervals;
};

/// Sums what all processes report of the work that they gave the servers of one
/// service. The reports are cumulative, so that a lost or repeated one does no
/// harm.
class DemandTotals {
public:
  void merge(const std::string &incarnation, const WorkDone &done,
             MonoTime now);
  /// Ends an interval, and records its demand if the processes have been heard
  /// for the whole of it.
  void endInterval(MonoTime now);
  std::optional<ServiceDemand> peak(MonoTime now) const {
    return History.peak(now);
  }
  /// Forgets everything, when this process begins to receive the reports.
  void reset();

private:
  struct Reporter {
    WorkDone Done;
    MonoTime HeardAt{};
  };

  std::map<std::string, Reporter> Reporters;
  WorkDone Interval;
  std::optional<MonoTime> IntervalStart;
  DemandHistory History;
};

} // namespace sardineford::duties
