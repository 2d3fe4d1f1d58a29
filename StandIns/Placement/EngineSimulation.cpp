#include "StandIns/Placement/EngineSimulation.h"

#include <algorithm>

namespace sardineford::standins {

void EngineSimulation::add(SimulatedSequencePtr s) {
  auto at = std::find_if(Waiting.begin(), Waiting.end(), [&](const auto &it) {
    return it->Priority > s->Priority;
  });
  Waiting.insert(at, std::move(s));
}

void EngineSimulation::admit() {
  while (!Waiting.empty() && Running.size() < Spec.Slots) {
    Running.push_back(Waiting.front());
    Waiting.pop_front();
  }
}

SimulatedSequencePtr EngineSimulation::nextPrefill() const {
  SimulatedSequencePtr best;
  for (const SimulatedSequencePtr &it : Running) {
    if (it->RemainingPrefill <= 0)
      continue;
    // A prefill that has begun is not interrupted.
    if (it == Started)
      return it;
    if (!best || it->Priority < best->Priority)
      best = it;
  }
  return best;
}

void EngineSimulation::endStep(SimulatedTime now) {
  if (Prefilling)
    Prefilling->RemainingPrefill -= ChunkTokens;
  Prefilling = nullptr;
  for (auto it = Running.begin(); it != Running.end();) {
    SimulatedSequence &s = **it;
    bool hasEnded = false;
    if (s.RemainingPrefill <= 0) {
      bool isFirst = s.EventsDone == 0;
      if (isFirst && s.OnFirstEvent)
        s.OnFirstEvent(now);
      if (isFirst || ++s.TokensOfEvent == Spec.TokensPerEvent) {
        if (!isFirst)
          s.LongestPause = std::max(s.LongestPause, now - s.LastEventAt);
        s.LastEventAt = now;
        s.TokensOfEvent = 0;
        ++s.EventsDone;
      }
      hasEnded = s.EventsDone >= s.Events;
    }
    SimulatedSequencePtr ended = hasEnded ? *it : nullptr;
    it = hasEnded ? Running.erase(it) : std::next(it);
    if (ended && ended->OnEnd)
      ended->OnEnd(now);
  }
}

std::optional<SimulatedTime> EngineSimulation::step(SimulatedTime now) {
  endStep(now);
  admit();
  if (Running.empty())
    return std::nullopt;
  auto decoding = static_cast<double>(
      std::count_if(Running.begin(), Running.end(),
                    [](const auto &it) { return it->RemainingPrefill <= 0; }));
  Seconds duration{0};
  if (decoding > 0)
    duration += Spec.StepBase + Spec.StepPerSequence * decoding;
  Prefilling = nextPrefill();
  Started = Prefilling;
  if (Prefilling) {
    bool isPrefillRole = Role == routing::EngineRole::Prefill;
    double speed = isPrefillRole ? 1 : Spec.DecodeRoleSpeedRatio;
    double chunk =
        Spec.ChunkTokens * (isPrefillRole ? 1 : Spec.DecodeRoleChunkRatio);
    ChunkTokens = std::min(chunk, Prefilling->RemainingPrefill);
    double done = Prefilling->PromptTokens - Prefilling->RemainingPrefill;
    double megaPairs = ChunkTokens * (done + ChunkTokens / 2) / 1e6;
    duration += (Seconds(ChunkTokens / Spec.PrefillTokensPerSecond) +
                 Spec.PrefillPerMegaPairs * megaPairs) /
                speed;
  }
  return now + duration * Slowdown;
}

} // namespace sardineford::standins
