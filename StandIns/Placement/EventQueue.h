#pragma once

#include "Sardineford/Common/Time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <random>

namespace sardineford::standins {

/// Simulated clock with the events to come.
class EventQueue {
public:
  explicit EventQueue(uint64_t seed) : Random(seed) {}

  /// Calls the function after a time.
  void at(MonoClock::duration delay, std::function<void()> act);
  /// Plays all events until a time.
  void runUntil(MonoTime end);
  MonoTime now() const { return Now; }
  Milliseconds randomTime(Milliseconds most);
  bool happens(double probability);
  std::mt19937_64 &random() { return Random; }

private:
  struct Event {
    MonoTime At;
    uint64_t Order = 0;
    std::function<void()> Act;
    bool operator<(const Event &o) const {
      return At != o.At ? At > o.At : Order > o.Order;
    }
  };

  std::mt19937_64 Random;
  MonoTime Now{};
  uint64_t NextOrder = 0;
  std::priority_queue<Event> Events;
};

} // namespace sardineford::standins
