#pragma once

#include "Sardineford/Common/Time.h"

#include <cstddef>
#include <map>
#include <string>

namespace sardineford::retry {

/// Limits retries to a ratio of the requests, so that failing engines do not
/// multiply the load. Each process has one budget per pool or service.
class Budget {
public:
  /// Records a first attempt.
  void deposit();
  /// Consumes one retry; returns false when the budget is used up.
  bool withdraw();
  double balance() const { return Balance; }

private:
  double Balance = 10;
};

/// Ejects failing engines from routing, for a time that grows with each
/// ejection.
class Ejector {
public:
  void succeeded(const std::string &engine);
  /// Records that the engine rejected or failed an attempt.
  void failed(const std::string &engine, MonoTime now);
  /// Ejects the engine immediately, because it reports that it accepts no work.
  void eject(const std::string &engine, MonoTime now);
  /// Returns whether the engine is excluded from routing. While more than half
  /// of the pool is ejected, no engine is excluded.
  bool isEjected(const std::string &engine, MonoTime now,
                 size_t poolSize) const;

private:
  struct State {
    int Failures = 0;
    int Ejections = 0;
    MonoTime EjectedUntil{};
  };

  size_t ejectedCount(MonoTime now) const;

  std::map<std::string, State> States;
};

} // namespace sardineford::retry
