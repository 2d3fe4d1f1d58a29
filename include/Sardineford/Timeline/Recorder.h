#pragma once

#include "Sardineford/Timeline/Event.h"

#include <boost/json/object.hpp>

#include <cstdio>
#include <deque>
#include <string>

namespace sardineford::timeline {

/// Who writes the events.
struct ProcessName {
  std::string Process;
  std::string Instance;
  std::string FailureDomain;
};

/// Keeps the newest events of this process in a ring of bounded size and, when
/// a history file is named, appends each to it as a line of JSON.
class Recorder {
public:
  explicit Recorder(ProcessName name, size_t capacity = 4096);
  ~Recorder();
  Recorder(const Recorder &) = delete;
  Recorder &operator=(const Recorder &) = delete;

  /// Opens the history file for appending. Throws Error(BadSettings).
  void openHistory(const std::string &file);

  void record(Event e);

  /// The ring as JSON: process, number of events that fell out, and events
  /// that are newer than the given time.
  std::string toJson(HybridTime since = {}) const;

  HybridClock &clock() { return Clock; }

private:
  struct Stamped {
    HybridTime At;
    /// Microseconds of the monotonic clock, comparable on one machine.
    int64_t MonotonicUs = 0;
    Event What;
  };

  boost::json::object toObject(const Stamped &s) const;

  ProcessName Name;
  size_t Capacity;
  std::deque<Stamped> Ring;
  uint64_t Overflowed = 0;
  HybridClock Clock;
  std::FILE *History = nullptr;
};

} // namespace sardineford::timeline
