#include "Sardineford/Retry/Retry.h"

#include <algorithm>

namespace sardineford::retry {

namespace {

/// Retries allowed for each request.
constexpr double DepositPerRequest = 0.2;
constexpr double MaxBalance = 100;
constexpr int FailuresToEject = 3;
constexpr Milliseconds BaseEjectionTime{500};
constexpr int MaxEjectionDoublings = 5;

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
  // One further failure after the engine is readmitted ejects it again.
  s.Failures = FailuresToEject - 1;
  s.EjectedUntil = now + BaseEjectionTime *
                             (1 << std::min(s.Ejections, MaxEjectionDoublings));
  ++s.Ejections;
}

size_t Ejector::ejectedCount(MonoTime now) const {
  return static_cast<size_t>(
      std::count_if(States.begin(), States.end(), [&](const auto &it) {
        return it.second.EjectedUntil > now;
      }));
}

bool Ejector::isEjected(const std::string &engine, MonoTime now,
                        size_t poolSize) const {
  auto it = States.find(engine);
  if (it == States.end() || it->second.EjectedUntil <= now)
    return false;
  return ejectedCount(now) * 2 <= poolSize;
}

} // namespace sardineford::retry
