#include "Sardineford/Retry/WindowBudget.h"

#include <algorithm>

namespace sardineford::retry {

namespace {

/// Part of the bound that is used: windows slide, clocks of processes differ,
/// and what is in flight arrives later than it is counted.
constexpr double UsedShare = 0.7;

void dropBefore(std::deque<MonoTime> &times, MonoTime oldest) {
  while (!times.empty() && times.front() < oldest)
    times.pop_front();
}

} // namespace

void WindowBudget::removeExpired(MonoTime now) {
  dropBefore(Requests, now - Bounds.Window);
  dropBefore(Attempts, now - Bounds.Window);
}

void WindowBudget::recordRequest(MonoTime now) {
  Requests.push_back(now);
  removeExpired(now);
}

double WindowBudget::remaining(MonoTime now) {
  removeExpired(now);
  double allowed = Bounds.Ratio * static_cast<double>(Requests.size()) +
                   Bounds.Slack / Processes;
  return UsedShare * allowed - static_cast<double>(Attempts.size());
}

bool WindowBudget::withdraw(MonoTime now) {
  if (remaining(now) < 1)
    return false;
  Attempts.push_back(now);
  return true;
}

} // namespace sardineford::retry
