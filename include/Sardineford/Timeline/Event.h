#pragma once

#include "Sardineford/Common/Time.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace sardineford::timeline {

/// Timestamp of a hybrid logical clock: wall clock milliseconds in the upper 48
/// bits, a counter in the lower 16 bits. Ordered consistently with causality.
struct HybridTime {
  uint64_t Value = 0;

  auto operator<=>(const HybridTime &) const = default;
};

/// Hybrid logical clock: merges the wall clock with the timestamps received
/// from other processes, so that an effect never has an earlier timestamp than
/// its cause.
class HybridClock {
public:
  /// Returns a timestamp for a local event or for a message to be sent.
  HybridTime now();
  /// Advances the clock to at least the timestamp of a received message.
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

/// Returns the name of the kind in kebab case.
std::string_view toString(EventKind k);

/// One event of a process. Fields that do not apply are empty or 0.
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
  /// Outcome or details: one word or a short text.
  std::string Detail;
};

} // namespace sardineford::timeline
