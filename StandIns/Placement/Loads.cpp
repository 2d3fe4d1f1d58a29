#include "StandIns/Placement/Loads.h"

#include <cmath>

namespace sardineford::standins {

namespace {

constexpr double SwingSeconds = 2.8;
constexpr double SwingHigh = 1.6;
constexpr double SwingLow = 0.6;

} // namespace

std::vector<SimulatedClass> mixedLoad(double engines) {
  SimulatedClass draft;
  draft.Name = "draft";
  draft.PerSecond = 1.03 * engines;
  draft.MeanPromptTokens = 6'610;
  draft.PromptSpread = 1.4;
  draft.MaxPromptTokens = 54'600;
  draft.SharedTokens = 5'380;
  draft.SharedParts = static_cast<unsigned>(6 * engines);
  draft.MeanEvents = 35;
  draft.Objective = Milliseconds(600);
  draft.CallerTimeout = Milliseconds(2'400);
  SimulatedClass question;
  question.Name = "question";
  question.PerSecond = 1.0 * engines;
  question.MeanPromptTokens = 630;
  question.PromptSpread = 1.0;
  question.MaxPromptTokens = 3'300;
  question.SharedTokens = 200;
  question.SharedParts = static_cast<unsigned>(4 * engines);
  question.MeanEvents = 26;
  question.Objective = Milliseconds(250);
  question.CallerTimeout = Milliseconds(2'000);
  SimulatedClass match;
  match.Name = "match";
  match.PerSecond = 2.3 * engines;
  match.MeanPromptTokens = 1'800;
  match.PromptSpread = 1.3;
  match.MaxPromptTokens = 6'900;
  match.SharedTokens = 570;
  match.SharedParts = static_cast<unsigned>(20 * engines);
  match.MeanEvents = 2;
  match.Objective = Milliseconds(300);
  match.CallerTimeout = Milliseconds(2'000);
  return {draft, question, match};
}

std::vector<SimulatedClass> longPromptLoad(double engines) {
  SimulatedClass summary;
  summary.Name = "summary";
  summary.PerSecond = 1.29 * engines;
  summary.MeanPromptTokens = 3'700;
  summary.PromptSpread = 1.2;
  summary.MaxPromptTokens = 30'000;
  summary.SharedTokens = 13'300;
  summary.SharedParts = static_cast<unsigned>(4 * engines);
  summary.MeanEvents = 17;
  summary.Objective = Milliseconds(800);
  summary.PauseObjective = Milliseconds(300);
  summary.CallerTimeout = Milliseconds(3'200);
  SimulatedClass draft;
  draft.Name = "draft";
  draft.PerSecond = 1.04 * engines;
  draft.MeanPromptTokens = 2'900;
  draft.PromptSpread = 1.2;
  draft.MaxPromptTokens = 20'000;
  draft.SharedTokens = 3'800;
  draft.SharedParts = static_cast<unsigned>(5 * engines);
  draft.MeanEvents = 7;
  draft.Objective = Milliseconds(600);
  draft.PauseObjective = Milliseconds(300);
  draft.CallerTimeout = Milliseconds(2'400);
  SimulatedClass question;
  question.Name = "question";
  question.PerSecond = 1.4 * engines;
  question.MeanPromptTokens = 1'100;
  question.PromptSpread = 1.0;
  question.MaxPromptTokens = 6'000;
  question.SharedTokens = 350;
  question.SharedParts = static_cast<unsigned>(4 * engines);
  question.MeanEvents = 25;
  question.Objective = Milliseconds(500);
  question.PauseObjective = Milliseconds(300);
  question.CallerTimeout = Milliseconds(2'000);
  return {summary, draft, question};
}

SimulatedEngineSpec longPromptEngine() {
  SimulatedEngineSpec e;
  e.Slots = 64;
  e.StepBase = Seconds(0.00655);
  e.StepPerSequence = Seconds(0.000165);
  e.PrefillTokensPerSecond = 62'400;
  e.PrefillPerMegaPairs = Seconds(0.00105);
  e.ChunkTokens = 1'024;
  e.Setup = Seconds(0.12);
  e.TokensPerEvent = 7;
  e.KvCacheTokens = 448'000;
  return e;
}

double swingingShape(const SimulatedClass &c, SimulatedTime t) {
  if (c.Name == "draft")
    return 1;
  bool isOdd = std::fmod(t.count(), 2 * SwingSeconds) >= SwingSeconds;
  return isOdd == (c.Name == "match") ? SwingHigh : SwingLow;
}

} // namespace sardineford::standins
