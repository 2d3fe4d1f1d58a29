#pragma once

#include "Sardineford/Common/Time.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace sardineford::timeline {

/// A hybrid logical clock's reading: wall clock milliseconds in the upper 48
/// bits, a counter in the lower 16. Ordered like the events that it stamps.
struct HybridTime {
  uint64_t Value = 0;

  auto operator<=>(const HybridTime &) const = default;
};

/// Merges the wall clock with times received from other processes, so that an
/// effect is never stamped before its cause.
class HybridClock {
public:
  /// Time for a local event or a message that is about to be sent.
  HybridTime now();
  /// Takes the time of a received message into account.
  void observe(HybridTime received);

private:
  uint64_t Last = 0;
};

enum class EventKind {
  ProcessStarted,
  ProcessStopping,
  ProcessStopped,
  RequestSent,
  RequestAccepted,
  RequestRefused,
  RequestDone,
  RequestFailed,
  AnswerReceived,
  AttemptStarted,
  AttemptEnded,
  EngineAccepted,
  EngineFinished,
  EngineCut,
  EngineLeaving,
  EngineFrozen,
  EngineThawed,
  OrderRecorded,
  OrderSent,
  OrderDone,
  OrderRan,
  OrderEnded,
  OrderRefused,
  LeaseTaken,
  LeaseLost,
  RoleChanged,
  OnceRecorded,
  ServiceRan,
  GenerationPublished,
  GenerationApplied,
  ObjectAccepted,
  FaultBrought,
};

/// Name of a kind as a kebab-case word.
std::string_view toString(EventKind k);

/// Something that happened in one process. Fields that do not apply are
/// empty or 0.
struct Event {
  EventKind Kind = EventKind::ProcessStarted;
  std::string Request;
  std::string Attempt;
  std::string Pool;
  std::string Engine;
  std::string Order;
  std::string Key;
  uint64_t Epoch = 0;
  uint64_t Generation = 0;
  /// Outcome or details, one word or a short text.
  std::string Detail;
};

} // namespace sardineford::timeline
