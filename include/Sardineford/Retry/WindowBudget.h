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
class WindowBudget {
public:
  WindowBudget(BudgetBounds bounds, MonoTime now)
      : Bounds(bounds), Start(now) {}

  /// Sets the number of processes that share the slack.
  void setProcesses(unsigned n) { Processes = n == 0 ? 1 : n; }
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

  BudgetBounds Bounds;
  MonoTime Start;
  unsigned Processes = 1;
  std::deque<MonoTime> Requests;
  std::deque<MonoTime> Attempts;
};

} // namespace sardineford::retry
