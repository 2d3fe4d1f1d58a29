#pragma once

#include "Sardineford/Common/Time.h"

#include <cstddef>
#include <map>
#include <string>

namespace sardineford::retry {

/// Allows retries as a share of the requests, so that failing engines do not
/// multiply the load. One for each pool and node.
class Budget {
public:
  /// Takes note of a first attempt.
  void deposit();
  /// Takes one retry from the budget; false when it is used up.
  bool withdraw();
  double balance() const { return Balance; }

private:
  double Balance = 10;
};

/// Leaves out engines that fail, for a time that grows with each ejection.
class Ejector {
public:
  void succeeded(const std::string &engine);
  /// The engine refused or failed an attempt.
  void failed(const std::string &engine, MonoTime now);
  /// The engine says that it takes no work: leaves it out at once.
  void eject(const std::string &engine, MonoTime now);
  /// Whether the engine is left out at the moment. At most half of a pool is.
  bool isEjected(const std::string &engine, MonoTime now,
                 size_t poolSize) const;

private:
  struct State {
    int Failures = 0;
    int Ejections = 0;
    MonoTime Until{};
  };

  size_t ejectedCount(MonoTime now) const;

  std::map<std::string, State> States;
};

} // namespace sardineford::retry
