#pragma once

#include "Duties/OrderPlan.h"
#include "Sardineford/Duties/DutyApi.h"
#include "Sardineford/Duties/Lease.h"
#include "Sardineford/Duties/Usage.h"
#include "Sardineford/Http/Message.h"
#include "Sardineford/Metrics/Metrics.h"
#include "Sardineford/Store/ObjectStore.h"

#include <functional>
#include <set>

namespace sardineford::duties {

struct DutyOptions {
  std::string Name;
  std::string Incarnation;
  LeaseTimes Times;
  UsageWindows Windows;
  /// Time after the end of a window when its report is late.
  Milliseconds DueAfter{10'000};
  double CallsPerSecond = 10;
  /// Servers are ordered.
  bool OrdersServers = false;
};

/// What the runner needs of the other processes.
struct DutyPeers {
  /// Rank of this process in the order of the fleet; empty while unknown.
  std::function<std::optional<unsigned>()> Rank;
  /// Processes that may hold the lease.
  std::function<std::vector<http::Endpoint>()> Contenders;
  std::function<void(const std::vector<WindowCount> &,
                     const std::vector<http::Endpoint> &)>
      Send;
  std::function<void(const std::vector<ServiceWork> &,
                     const std::vector<http::Endpoint> &)>
      SendWork;
  std::function<std::vector<OrderableService>()> Services;
};

/// Competes for the lease, and makes the calls of the duties while this process
/// holds it. Counts the requests of this process in any case.
class DutyRunner {
public:
  DutyRunner(IoContext &io, store::ObjectStore &store, DutyApi &api,
             DutyOptions options, DutyPeers peers, metrics::Metrics &metrics);

  void start();
  /// Counts a request that a server has begun to execute.
  void count(const std::string &workspace);
  /// Receives counts of a peer.
  void receive(const std::string &incarnation,
               const std::vector<WindowCount> &counts);
  /// Receives the work of a peer.
  void receiveWork(const std::string &incarnation,
                   const std::vector<ServiceWork> &work);
  /// Releases the lease after the present call and stops competing.
  void stop() { Stopping = true; }
  /// Returns whether the lease has been released or was not held.
  bool isStopped() const { return Stopping && !State.IsHolder; }
  /// Sends the counts that have not been sent yet.
  void sendCounts();

private:
  Awaitable<void> leaseLoop();
  Awaitable<void> countLoop();
  Awaitable<void> checkpointLoop();
  Awaitable<void> step();
  Awaitable<void> read();
  Awaitable<void> compete(BootTime now);
  /// Renews the lease if that is due, with the reports that are to be fixed.
  Awaitable<void> renew(BootTime now);
  Awaitable<void> release();
  Awaitable<void> write(LeaseRecord record);
  Awaitable<void> readCheckpoint();
  Awaitable<void> writeCheckpoint();
  /// Sends the oldest fixed report.
  Awaitable<void> sendReport();
  /// Sends a recorded order that the platform has not accepted yet.
  Awaitable<void> sendOrder();
  /// Returns the time that a call may take now, or nothing if none may be made.
  std::optional<Milliseconds> callTime(BootTime now) const;
  /// Returns the check right before the first byte of a call is sent.
  std::function<bool()> sendCheck(Milliseconds timeout);
  void sendWork();
  void recordResult(const FixedReport &report, uint64_t token,
                    CallResult result);
  void updateRank(BootTime now);
  bool isValidHolder() const;
  /// Time since 1970.
  Milliseconds time();
  void registerGauges();

  IoContext &Io;
  store::ObjectStore &Store;
  DutyApi &Api;
  DutyOptions Options;
  DutyPeers Peers;
  metrics::Metrics &Metrics;
  LeaseState State;
  DayClock Day;
  UsageCounter Counter;
  UsageTotals Totals;
  UsageCoverage Coverage;
  OrderPlan Orders;
  BootTime IntervalAt{};
  bool Stopping = false;
  /// Last time at which this process was among the contenders.
  std::optional<BootTime> ContenderAt;
  bool IsContender = false;
  BootTime ReadAt{};
  BootTime WrittenAt{};
  BootTime NextCallAt{};
  BootTime HeldSince{};
  Milliseconds EraSeenTime{0};
  std::optional<uint64_t> EraSeen;
  /// Windows whose reports were answered, while the record holds them.
  std::set<int64_t> Answered;
  bool IsCheckpointRead = false;
  uint64_t CheckpointVersion = 0;
  uint64_t CheckpointChanges = 0;
  int64_t CheckpointWindow = 0;
  std::vector<http::Endpoint> Recipients;
  int64_t LastReported = 0;
};

} // namespace sardineford::duties
