#include "Sardineford/Admission/SizeFairness.h"
#include "Sardineford/Admission/StreamAdmission.h"
#include "Sardineford/Routing/Placement.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <functional>

using namespace sardineford;
using namespace sardineford::routing;
using fleet::WorkPriority;

namespace {

constexpr double PrefillTokensPerSecond = 100'000;
constexpr Seconds TimeStep{0.005};
constexpr Milliseconds Objective{500};
constexpr Milliseconds CallerTimeout{2'000};
constexpr Seconds StreamTime{1.5};

struct QueuedPrompt {
  double Tokens = 0;
  double RemainingTokens = 0;
  double ArrivalTime = 0;
  WorkPriority Priority = WorkPriority::Urgent;
};

/// Simulated engine that prefills one prompt after the other by priority and
/// drops the prompts whose callers have timed out.
struct SimulatedEngine {
  EngineRole Role = EngineRole::Decode;
  bool Unavailable = false;
  std::deque<QueuedPrompt> Queue;
  std::vector<double> StreamEnds;

  double tokensAhead(WorkPriority r) const {
    double n = 0;
    for (const QueuedPrompt &it : Queue)
      if (it.Priority <= r)
        n += it.RemainingTokens;
    return n;
  }
};

struct Outcome {
  int Requests = 0;
  int InTime = 0;
  int Served = 0;
  int Rejected = 0;
  int Large = 0;
  int LargeServed = 0;
};

struct Workload {
  /// Requests per second, by time in seconds.
  std::function<double(double)> Rate;
  std::function<bool(double, size_t)> IsEngineUnavailable = [](double, size_t) {
    return false;
  };
  bool AcceptAll = false;
};

class Simulation {
public:
  explicit Simulation(Workload load) : Load(std::move(load)), Engines(9) {
    for (size_t i = 0; i < 3; ++i)
      Engines[i].Role = EngineRole::Prefill;
  }

  Outcome run(double seconds) {
    for (Now = 0; Now < seconds; Now += TimeStep.count()) {
      std::poisson_distribution<int> arrivals(Load.Rate(Now) *
                                              TimeStep.count());
      for (int i = arrivals(Random); i > 0; --i)
        arrive();
      for (size_t i = 0; i < Engines.size(); ++i)
        advance(Engines[i], i);
    }
    return Result;
  }

private:
  std::vector<EngineCandidate> view(WorkPriority r) const {
    std::vector<EngineCandidate> out;
    for (const SimulatedEngine &it : Engines) {
      EngineCandidate e;
      e.Role = it.Role;
      e.PromptTokensAhead = it.tokensAhead(r);
      e.Requests = static_cast<unsigned>(it.StreamEnds.size());
      e.Slots = 64;
      e.Ejected = it.Unavailable;
      out.push_back(e);
    }
    return out;
  }

  void arrive() {
    std::lognormal_distribution<double> sizes(7.9, 1.1);
    double tokens = std::min(40'000.0, sizes(Random));
    bool large = tokens > 11'000;
    ++Result.Requests;
    Result.Large += large ? 1 : 0;
    std::array<std::optional<PlacementChoice>, fleet::NumWorkPriorities>
        choices;
    for (size_t i = 0; i < choices.size(); ++i)
      choices[i] =
          placeRequest(view(static_cast<WorkPriority>(i)),
                       {static_cast<uint64_t>(tokens)}, Speeds, Random);
    admission::StreamAdmissionInput o;
    o.FirstEstimate = choices[0]->TimeToFirstEvent;
    o.UrgentEstimate = choices[1]->TimeToFirstEvent;
    o.BackgroundEstimate = choices[2]->TimeToFirstEvent;
    o.PromptPrefillTime = choices[2]->PromptPrefillTime;
    o.Objective = Objective;
    o.CallerTimeout = CallerTimeout;
    o.RemainingTime = Milliseconds(8'000);
    o.IsUnderserved = Fairness.isUnderserved(tokens);
    admission::StreamDecision d = admission::decideStream(o);
    if (Load.AcceptAll)
      d.Priority = WorkPriority::Urgent;
    if (!d.Priority) {
      ++Result.Rejected;
      Fairness.record(tokens, false);
      return;
    }
    const PlacementChoice &c = *choices[static_cast<size_t>(*d.Priority)];
    SimulatedEngine &e = Engines[c.Prefill.value_or(c.Decode)];
    QueuedPrompt prompt{tokens, tokens, Now, *d.Priority};
    auto at = std::find_if(
        e.Queue.begin(), e.Queue.end(),
        [&](const QueuedPrompt &it) { return it.Priority > prompt.Priority; });
    e.Queue.insert(at, prompt);
  }

  void advance(SimulatedEngine &e, size_t index) {
    e.Unavailable = Load.IsEngineUnavailable(Now, index);
    std::erase_if(e.StreamEnds, [&](double t) { return t < Now; });
    double speed = PrefillTokensPerSecond;
    if (e.Role == EngineRole::Decode)
      speed /= 4;
    double budget = e.Unavailable ? 0 : speed * TimeStep.count();
    while (!e.Queue.empty()) {
      QueuedPrompt &prompt = e.Queue.front();
      if (Now - prompt.ArrivalTime > Seconds(CallerTimeout).count()) {
        Fairness.record(prompt.Tokens, false);
        e.Queue.pop_front();
        continue;
      }
      if (budget <= 0)
        return;
      double done = std::min(budget, prompt.RemainingTokens);
      prompt.RemainingTokens -= done;
      budget -= done;
      if (prompt.RemainingTokens > 0)
        return;
      finish(prompt);
      e.Queue.pop_front();
    }
  }

  void finish(const QueuedPrompt &prompt) {
    double took = Now - prompt.ArrivalTime + 0.06;
    ++Result.Served;
    Result.InTime += took <= Seconds(Objective).count() ? 1 : 0;
    Result.LargeServed += prompt.Tokens > 11'000 ? 1 : 0;
    Fairness.record(prompt.Tokens, true);
    // The stream runs at the least busy decode engine.
    SimulatedEngine *least = nullptr;
    for (SimulatedEngine &it : Engines)
      if (it.Role == EngineRole::Decode &&
          (!least || it.StreamEnds.size() < least->StreamEnds.size()))
        least = &it;
    least->StreamEnds.push_back(Now + StreamTime.count());
  }

  Workload Load;
  std::vector<SimulatedEngine> Engines;
  std::mt19937_64 Random{7};
  EngineSpeedModels Speeds{
      SpeedModel(Seconds(0.01), Seconds(1 / PrefillTokensPerSecond), 4'000),
      SpeedModel(Seconds(0.06), Seconds(4 / PrefillTokensPerSecond), 4'000),
      SpeedModel(Seconds(0.03), Seconds(1e-7), 4'000),
      SpeedModel(Seconds(0.04), Seconds(0.001), 10)};
  admission::SizeFairness Fairness;
  double Now = 0;
  Outcome Result;
};

double ratio(int part, int all) {
  return static_cast<double>(part) / std::max(1, all);
}

} // namespace

TEST_CASE("nearly all requests are in time within the engines' capacity") {
  Outcome o = Simulation({.Rate = [](double) { return 40.0; }}).run(30);
  CHECK(ratio(o.InTime, o.Requests) > 0.9);
  CHECK(ratio(o.Rejected, o.Requests) < 0.01);
}

TEST_CASE("admission keeps requests in time above the engines' capacity") {
  auto rate = [](double) { return 160.0; };
  Outcome controlled = Simulation({.Rate = rate}).run(30);
  Outcome uncontrolled = Simulation({.Rate = rate, .AcceptAll = true}).run(30);
  CHECK(controlled.InTime > 2 * uncontrolled.InTime);
  CHECK(controlled.Rejected > 0);
  // The largest tenth is served at least half as often as all requests.
  CHECK(ratio(controlled.LargeServed, controlled.Large) >
        0.5 * ratio(controlled.Served, controlled.Requests));
}

TEST_CASE("most requests are served during bursts of 3 s") {
  auto rate = [](double t) { return std::fmod(t, 6.0) < 3 ? 90.0 : 25.0; };
  Outcome o = Simulation({.Rate = rate}).run(36);
  CHECK(ratio(o.InTime, o.Requests) > 0.7);
  CHECK(ratio(o.Served, o.Requests) > 0.9);
}

TEST_CASE("the other engines serve the load if one of three prefill engines "
          "fails") {
  Workload load;
  load.Rate = [](double) { return 45.0; };
  load.IsEngineUnavailable = [](double t, size_t i) {
    return i == 0 && t > 10;
  };
  Outcome o = Simulation(load).run(30);
  CHECK(ratio(o.Served, o.Requests) > 0.9);
  CHECK(ratio(o.InTime, o.Requests) > 0.7);
}
