#pragma once

#include "Sardineford/Common/Time.h"
#include "Sardineford/Timeline/Recorder.h"
#include "StandIns/Deployment/Deployment.h"

#include <string>
#include <vector>

namespace sardineford::standins {

enum class FaultKind {
  KillEntry,
  KillHolder,
  KillEngine,
  KillService,
  PauseEntry,
  PauseHolder,
  StopEntry,
  StopController,
  CutEngine,
  /// Drops all bytes on the open connections of an engine; new connections
  /// work.
  SilenceEngine,
  SlowEngineLink,
  CutController,
  /// Breaks the link from one process to the store.
  CutFromStore,
  StoreDown,
  StoreSlow,
  StoreLosesReplies,
  /// Crashes an engine during an order.
  CrashInOrder,
  StaleReports,
  EngineLeaves,
  /// Delays an order and kills the lease holder that sent it, so that the order
  /// arrives after those of the next holder.
  LateOrder,
};

std::string_view toString(FaultKind k);
inline constexpr size_t NumFaultKinds =
    static_cast<size_t>(FaultKind::LateOrder) + 1;

/// One fault of a schedule.
struct Fault {
  FaultKind Kind = FaultKind::KillEntry;
  /// Index of the target among the processes that the fault applies to, modulo
  /// their number.
  unsigned Target = 0;
  /// Offset from the start of the schedule.
  Milliseconds At{0};
  Milliseconds Length{0};
};

using FaultSchedule = std::vector<Fault>;

/// Generates a schedule of one to four faults, which may overlap, from a seed
/// with RapidCheck's generators.
FaultSchedule makeSchedule(uint64_t seed, Milliseconds length);

std::string describe(const FaultSchedule &s);

/// Begins and ends each fault of a schedule at its time. Blocks until the
/// last fault has ended.
void injectFaults(Deployment &d, const FaultSchedule &s,
                  const std::string &pool, timeline::Recorder &recorder);

} // namespace sardineford::standins
