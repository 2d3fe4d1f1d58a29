#pragma once

#include "Sardineford/Common/Time.h"

#include <cstdint>
#include <deque>

namespace sardineford::retry {

/// Limits of the further attempts at one service, over all processes.
struct BudgetBounds {
  /// Further attempts allowed per request.
  double Ratio = 0.2;
  /// Further attempts allowed in any window in addition to the ratio, over all
  /// processes.
  double Slack = 0;
  Milliseconds Window{10'000};
};

/// Keeps the further attempts of all processes within one limit, without
/// communication between the processes: each process may use the ratio of its
/// local requests and an equal part of the slack. Callers retry as well, and
/// the retries of both must not multiply the load on failing servers.
///
/// The part of the slack is zero while the number of processes is not known.
/// For one window after a restart it is zero as well, and a smaller ratio
/// applies, since the process before this one may have used its part. A process
/// counts as restarted until it is known to be the first of its instance.
class WindowBudget {
public:
  WindowBudget(BudgetBounds bounds, MonoTime processStart)
      : Bounds(bounds), ProcessStart(processStart) {}

  /// Sets the number of processes that share the slack: all that may exist,
  /// also those that are silent. A lower number applies a window later.
  void setProcesses(unsigned n, MonoTime now);
  /// Sets whether no process has run on this instance before.
  void setFirstStart(bool isFirst) { IsFirstStart = isFirst; }
  void setBounds(BudgetBounds bounds) { Bounds = bounds; }
  void recordRequest(MonoTime now);
  /// Consumes one further attempt; returns false when the budget is used up.
  bool withdraw(MonoTime now);
  /// Gives back the first attempt that was withdrawn at this time or later,
  /// since it does not count.
  void refund(MonoTime withdrawnFrom);
  /// Further attempts that the budget allows now; negative when more were made
  /// than the current bounds allow.
  double remaining(MonoTime now);

private:
  void removeExpired(MonoTime now);
  /// Attempts that this process may make in the window that ends now.
  double usableAttempts(MonoTime now) const;

  BudgetBounds Bounds;
  MonoTime ProcessStart;
  bool IsFirstStart = false;
  /// 0 while it is not known.
  unsigned Processes = 0;
  /// Time at which Processes was last confirmed.
  MonoTime ProcessesAt{};
  std::deque<MonoTime> Requests;
  std::deque<MonoTime> Attempts;
};

} // namespace sardineford::retry
