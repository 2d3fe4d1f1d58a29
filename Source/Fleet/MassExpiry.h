#pragma once

#include "Sardineford/Common/Time.h"

#include <cstddef>
#include <deque>
#include <utility>

namespace sardineford::fleet {

/// Recognizes entries of backend servers that went missing together. Servers
/// seldom end at the same time, but their entries expire at the same time when
/// the store does not receive their heartbeats, which a process whose watch
/// still works does not notice otherwise.
class MassExpiry {
public:
  /// Records entries that went missing although their servers had not announced
  /// that they leave. Returns whether so many of the known servers went missing
  /// within a short time that they are probably running.
  bool record(size_t missing, size_t known, MonoTime now);

private:
  /// Times and numbers of the latest missing entries.
  std::deque<std::pair<MonoTime, size_t>> Recent;
};

} // namespace sardineford::fleet
