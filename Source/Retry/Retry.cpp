#include "Sardineford/Retry/Retry.h"

#include <algorithm>

namespace sardineford::retry {

namespace {

/// Retries allowed for each request.
constexpr double DepositPerRequest = 0.2;
constexpr double MaxBalance = 100;
constexpr int FailuresToEject = 3;
constexpr Milliseconds FirstEjection{500};
constexpr int MaxEjectionShift = 5;

} // namespace

void Budget::deposit() {
  Balance = std::min(MaxBalance, Balance + DepositPerRequest);
}

bool Budget::withdraw() {
  if (Balance < 1)
    return false;
  Balance -= 1;
  return true;
}

void Ejector::succeeded(const std::string &engine) { States.erase(engine); }

void Ejector::failed(const std::string &engine, MonoTime now) {
  if (++States[engine].Failures >= FailuresToEject)
    eject(engine, now);
}

void Ejector::eject(const std::string &engine, MonoTime now) {
  State &s = States[engine];
  // The next failure after its return ejects it again at once.
  s.Failures = FailuresToEject - 1;
  s.Until =
      now + FirstEjection * (1 << std::min(s.Ejections, MaxEjectionShift));
  ++s.Ejections;
}

size_t Ejector::ejectedCount(MonoTime now) const {
  return static_cast<size_t>(
      std::count_if(States.begin(), States.end(),
                    [&](const auto &it) { return it.second.Until > now; }));
}

bool Ejector::isEjected(const std::string &engine, MonoTime now,
                        size_t poolSize) const {
  auto it = States.find(engine);
  if (it == States.end() || it->second.Until <= now)
    return false;
  return ejectedCount(now) * 2 <= poolSize;
}

} // namespace sardineford::retry
