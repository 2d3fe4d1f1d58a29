#pragma once

#include "Sardineford/Common/Time.h"

namespace sardineford::fleet {

/// Why an attempt at a backend server counts against it.
enum class FailureKind {
  /// No connection could be made.
  Unreachable,
  /// The connection broke, or the answer was not a whole one.
  Broken,
  /// Nothing came in the time that was expected.
  TimedOut,
  /// The server failed the request by its own word.
  ServerError,
  /// The server turned the request away.
  Rejected,
};

/// What one process has seen of one backend server. Health checks are not
/// asked: they can be wrong either way.
class PassiveHealth {
public:
  void recordSuccess(MonoTime now);
  void recordFailure(FailureKind kind, MonoTime now);

  /// Share of late attempts that failed, 0 to 1.
  double failureRatio() const { return Share; }
  /// The server is left out for the moment. One attempt may lead it back.
  bool isEjected(MonoTime now) const { return now < HeldOffUntil; }

private:
  double Share = 0;
  int Successive = 0;
  MonoTime HeldOffUntil{};
};

} // namespace sardineford::fleet
