#include "Sardineford/Retry/WindowBudget.h"

#include <algorithm>

namespace sardineford::retry {

namespace {

/// Ratio of the limit that is used. The margin covers sliding windows, clock
/// differences between processes, and attempts in flight, which arrive after
/// they are counted.
constexpr double UsableRatio = 0.7;
/// Processes that start together have heard of each other after this time.
constexpr Milliseconds SettleTime{1'000};

void removeBefore(std::deque<MonoTime> &times, MonoTime oldest) {
  while (!times.empty() && times.front() < oldest)
    times.pop_front();
}

} // namespace

void WindowBudget::removeExpired(MonoTime now) {
  removeBefore(Requests, now - Bounds.Window);
  removeBefore(Attempts, now - Bounds.Window);
}

void WindowBudget::setProcesses(unsigned n, MonoTime now) {
  if (n < Processes && now - ProcessesAt < Bounds.Window)
    return;
  Processes = n;
  ProcessesAt = now;
}

double WindowBudget::usableAttempts(MonoTime now) const {
  double ofRequests = Bounds.Ratio * static_cast<double>(Requests.size());
  // The process before this one may have used its part.
  if (!IsFirstStart && now - ProcessStart < Bounds.Window)
    return (1 - UsableRatio) * ofRequests;
  bool areProcessesKnown = Processes > 0 && now - ProcessStart >= SettleTime;
  double ofSlack = areProcessesKnown ? Bounds.Slack / Processes : 0;
  return UsableRatio * (ofRequests + ofSlack);
}

void WindowBudget::recordRequest(MonoTime now) {
  Requests.push_back(now);
  removeExpired(now);
}

double WindowBudget::remaining(MonoTime now) {
  removeExpired(now);
  return usableAttempts(now) - static_cast<double>(Attempts.size());
}

bool WindowBudget::withdraw(MonoTime now) {
  if (remaining(now) < 1)
    return false;
  Attempts.push_back(now);
  return true;
}

void WindowBudget::refund(MonoTime withdrawnFrom) {
  auto it = std::lower_bound(Attempts.begin(), Attempts.end(), withdrawnFrom);
  if (it != Attempts.end())
    Attempts.erase(it);
}

} // namespace sardineford::retry
