#include "StandIns/Placement/EventQueue.h"

#include <utility>

namespace sardineford::standins {

void EventQueue::at(MonoClock::duration delay, std::function<void()> act) {
  Events.push({Now + delay, NextOrder++, std::move(act)});
}

void EventQueue::runUntil(MonoTime end) {
  while (!Events.empty() && Events.top().At < end) {
    Event e = Events.top();
    Events.pop();
    Now = e.At;
    e.Act();
  }
}

Milliseconds EventQueue::randomTime(Milliseconds most) {
  return Milliseconds(Random() % static_cast<uint64_t>(most.count() + 1));
}

bool EventQueue::happens(double probability) {
  return std::uniform_real_distribution<>()(Random) < probability;
}

} // namespace sardineford::standins
