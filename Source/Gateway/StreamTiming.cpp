#include "Gateway/StreamTiming.h"

namespace sardineford::gateway {

namespace {

bool isMissed(Milliseconds value, Milliseconds objective) {
  return objective > Milliseconds(0) && value > objective;
}

} // namespace

std::string_view missedObjective(const StreamTiming &timing,
                                 const StreamTiming &objective) {
  if (isMissed(timing.FirstEvent, objective.FirstEvent))
    return "first_event";
  if (isMissed(timing.Pause, objective.Pause))
    return "pause";
  return "";
}

} // namespace sardineford::gateway
