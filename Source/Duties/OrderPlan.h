#pragma once

#include "Sardineford/Duties/BootClock.h"
#include "Sardineford/Duties/Lease.h"
#include "Sardineford/Duties/Scaling.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace sardineford::duties {

/// A service whose servers can be ordered, as this process knows it.
struct OrderableService {
  std::string Name;
  ScalingBounds Bounds;
  unsigned SlotsPerServer = 1;
  /// Servers that do not leave, by failure domain.
  std::map<std::string, unsigned> Present;
  /// Work of this process.
  WorkDone Done;
};

/// Work of one process for one service, as it is sent to the contenders.
struct ServiceWork {
  std::string Service;
  WorkDone Done;
};

/// Decides which orders the holder of the lease sends, and remembers which of
/// them the platform has accepted.
class OrderPlan {
public:
  /// Receives the work of a process.
  void merge(const std::string &incarnation,
             const std::vector<ServiceWork> &work, MonoTime now);
  /// Ends an interval of the demand.
  void endInterval(MonoTime now);
  /// Forgets the demand and which orders were accepted.
  void reset();
  /// Returns the orders after the decisions of now. They are to be recorded in
  /// the lease's object before any is sent.
  std::vector<PlacedOrder> decide(const std::vector<PlacedOrder> &recorded,
                                  const std::vector<OrderableService> &services,
                                  BootTime now);
  /// Returns a recorded order that is to be sent now, or nothing.
  std::optional<PlacedOrder>
  nextToSend(const std::vector<PlacedOrder> &recorded, BootTime now) const;
  void recordResult(const PlacedOrder &order, bool isDone, BootTime now);

private:
  using Subject = std::pair<std::string, std::string>;

  std::map<std::string, DemandTotals> Demand;
  /// Accepted numbers and the times from which rejected orders may be repeated.
  std::map<Subject, unsigned> Accepted;
  std::map<Subject, BootTime> RetryAt;
  std::map<std::string, BootTime> ChangedAt;
};

} // namespace sardineford::duties
