#pragma once

#include "Sardineford/Common/Time.h"

#include <cstdint>
#include <deque>

namespace sardineford::retry {

/// Limits of further attempts at one service, over all processes.
struct BudgetBounds {
  /// Further attempts allowed for each request.
  double Ratio = 0.2;
  /// Further attempts allowed beside, in any window, over all processes.
  double Slack = 0;
  Milliseconds Window{10'000};
};

/// Keeps the further attempts of all processes within one bound without talk
/// between them: each takes the ratio of its own requests and its part of the
/// slack. Answers failing servers under retries of callers, where the load
/// must not multiply.
class WindowBudget {
public:
  WindowBudget(BudgetBounds bounds, MonoTime now)
      : Bounds(bounds), Start(now) {}

  /// Number of processes that share the slack.
  void setProcesses(unsigned n) { Processes = n == 0 ? 1 : n; }
  void setBounds(BudgetBounds bounds) { Bounds = bounds; }
  void recordRequest(MonoTime now);
  /// Takes one further attempt; false when there is none left.
  bool withdraw(MonoTime now);
  /// Further attempts that could be taken now.
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
