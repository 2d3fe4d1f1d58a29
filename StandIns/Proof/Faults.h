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
  SilenceEngine,
  SlowEngineLink,
  CutController,
  CutFromStore,
  StoreDown,
  StoreSlow,
  StoreLosesReplies,
  CrashInOrder,
  StaleReports,
  EngineLeaves,
  LateOrder,
};

std::string_view toString(FaultKind k);
inline constexpr size_t FaultKinds =
    static_cast<size_t>(FaultKind::LateOrder) + 1;

/// One fault of a schedule.
struct Fault {
  FaultKind Kind = FaultKind::KillEntry;
  /// Which of the processes that it can hit.
  unsigned Target = 0;
  Milliseconds At{0};
  Milliseconds Length{0};
};

using FaultSchedule = std::vector<Fault>;

/// A schedule for a seed, made by RapidCheck's generators: faults singly and
/// two together.
FaultSchedule makeSchedule(uint64_t seed, Milliseconds length);

std::string describe(const FaultSchedule &s);

/// Brings the faults of a schedule, in time, on the calling thread.
void bringFaults(Deployment &d, const FaultSchedule &s, const std::string &pool,
                 timeline::Recorder &recorder);

} // namespace sardineford::standins
