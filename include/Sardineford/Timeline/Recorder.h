#pragma once

#include "Sardineford/Timeline/Event.h"

#include <boost/json/object.hpp>

#include <cstdio>
#include <deque>
#include <string>

namespace sardineford::timeline {

/// Identifies the process that records the events.
struct EventSource {
  std::string Process;
  std::string Instance;
  std::string FailureDomain;
};

/// Keeps the newest events of this process in a ring buffer and, if a history
/// file is open, appends each event to the file as a line of JSON.
class Recorder {
public:
  explicit Recorder(EventSource source, size_t capacity = 4096);
  ~Recorder();
  Recorder(const Recorder &) = delete;
  Recorder &operator=(const Recorder &) = delete;

  /// Opens the history file for appending. Throws Error(BadSettings).
  void openHistory(const std::string &file);

  void record(Event e);

  /// Returns a JSON object with the process name, the number of events dropped
  /// from the ring and the events newer than the given time.
  std::string toJson(HybridTime since = {}) const;

  HybridClock &clock() { return Clock; }

private:
  struct RecordedEvent {
    HybridTime At;
    /// Microseconds of the monotonic clock, comparable on one machine.
    int64_t MonotonicUs = 0;
    Event Data;
  };

  boost::json::object toObject(const RecordedEvent &r) const;

  EventSource Source;
  size_t Capacity;
  std::deque<RecordedEvent> Ring;
  uint64_t DroppedEvents = 0;
  HybridClock Clock;
  std::FILE *History = nullptr;
};

} // namespace sardineford::timeline
