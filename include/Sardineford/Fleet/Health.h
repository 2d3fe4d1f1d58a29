#pragma once

#include "Sardineford/Common/Time.h"

namespace sardineford::fleet {

/// Reason for which an attempt counts as a failure of a backend server.
enum class FailureKind {
  /// The connection could not be established.
  Unreachable,
  /// The connection broke or the response was incomplete.
  Broken,
  /// No data arrived within the timeout.
  TimedOut,
  /// The server reported that the request failed.
  ServerError,
  /// The server rejected the request.
  Rejected,
};

/// Health of one backend server, derived from the results of this process's
/// attempts. Health checks are not used: they can fail for a working server and
/// pass for a broken one.
class PassiveHealth {
public:
  void recordSuccess(MonoTime now);
  void recordFailure(FailureKind kind, MonoTime now);

  /// Returns the moving average of failures among recent attempts, 0 to 1.
  double failureRatio() const { return FailureRatio; }
  /// Returns true while the server is excluded from routing. A single
  /// successful attempt readmits the server.
  bool isEjected(MonoTime now) const { return now < EjectedUntil; }
  /// Returns the end of the last ejection; the epoch if there was none, or if
  /// an attempt has succeeded since.
  MonoTime ejectedUntil() const { return EjectedUntil; }

private:
  double FailureRatio = 0;
  int ConsecutiveFailures = 0;
  MonoTime EjectedUntil{};
};

} // namespace sardineford::fleet
