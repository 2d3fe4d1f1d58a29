#include "Sardineford/Admission/SizeFairness.h"
#include "Sardineford/Admission/StreamAdmission.h"
#include "Sardineford/Routing/Placement.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <functional>

using namespace sardineford;
using namespace sardineford::routing;
using fleet::WorkRank;

namespace {

constexpr double PrefillTokensPerSecond = 100'000;
constexpr Seconds Step{0.005};
constexpr Milliseconds Objective{500};
constexpr Milliseconds Patience{2'000};
constexpr Seconds StreamTime{1.5};

struct Job {
  double Tokens = 0;
  double Left = 0;
  double Arrived = 0;
  WorkRank Rank = WorkRank::Urgent;
};

/// An engine that prefills one prompt after the other by rank, and gives up on
/// those whose callers have left.
struct SimEngine {
  EngineRole Role = EngineRole::Decode;
  bool Gone = false;
  std::deque<Job> Queue;
  std::vector<double> StreamEnds;

  double tokensAhead(WorkRank r) const {
    double n = 0;
    for (const Job &it : Queue)
      if (it.Rank <= r)
        n += it.Left;
    return n;
  }
};

struct Outcome {
  int All = 0;
  int InTime = 0;
  int Served = 0;
  int Refused = 0;
  int Large = 0;
  int LargeServed = 0;
};

struct Load {
  /// Requests a second at a time.
  std::function<double(double)> Rate;
  std::function<bool(double, size_t)> EngineGone = [](double, size_t) {
    return false;
  };
  bool AcceptAll = false;
};

class Simulation {
public:
  explicit Simulation(Load load) : Play(std::move(load)), Engines(9) {
    for (size_t i = 0; i < 3; ++i)
      Engines[i].Role = EngineRole::Prefill;
  }

  Outcome run(double seconds) {
    for (Now = 0; Now < seconds; Now += Step.count()) {
      std::poisson_distribution<int> arrivals(Play.Rate(Now) * Step.count());
      for (int i = arrivals(Random); i > 0; --i)
        arrive();
      for (size_t i = 0; i < Engines.size(); ++i)
        advance(Engines[i], i);
    }
    return Result;
  }

private:
  std::vector<EngineCandidate> view(WorkRank r) const {
    std::vector<EngineCandidate> out;
    for (const SimEngine &it : Engines) {
      EngineCandidate e;
      e.Role = it.Role;
      e.PromptTokensAhead = it.tokensAhead(r);
      e.Requests = static_cast<unsigned>(it.StreamEnds.size());
      e.Slots = 64;
      e.Ejected = it.Gone;
      out.push_back(e);
    }
    return out;
  }

  void arrive() {
    std::lognormal_distribution<double> sizes(7.9, 1.1);
    double tokens = std::min(40'000.0, sizes(Random));
    bool large = tokens > 11'000;
    ++Result.All;
    Result.Large += large ? 1 : 0;
    std::array<std::optional<PlacementChoice>, fleet::WorkRanks> choices;
    for (size_t i = 0; i < choices.size(); ++i)
      choices[i] =
          placeRequest(view(static_cast<WorkRank>(i)),
                       {static_cast<uint64_t>(tokens)}, Speeds, Random);
    admission::StreamAdmissionInput o;
    o.FirstEstimate = choices[0]->TimeToFirstEvent;
    o.UrgentEstimate = choices[1]->TimeToFirstEvent;
    o.BackgroundEstimate = choices[2]->TimeToFirstEvent;
    o.PromptPrefillTime = choices[2]->PromptPrefillTime;
    o.Objective = Objective;
    o.CallerTimeout = Patience;
    o.RemainingTime = Milliseconds(8'000);
    o.IsUnderserved = Fairness.isUnderserved(tokens);
    admission::StreamDecision d = admission::decideStream(o);
    if (Play.AcceptAll)
      d.Priority = WorkRank::Urgent;
    if (!d.Priority) {
      ++Result.Refused;
      Fairness.record(tokens, false);
      return;
    }
    const PlacementChoice &c = *choices[static_cast<size_t>(*d.Priority)];
    SimEngine &e = Engines[c.Prefill.value_or(c.Decode)];
    Job job{tokens, tokens, Now, *d.Priority};
    auto at = std::find_if(e.Queue.begin(), e.Queue.end(),
                           [&](const Job &it) { return it.Rank > job.Rank; });
    e.Queue.insert(at, job);
  }

  void advance(SimEngine &e, size_t index) {
    e.Gone = Play.EngineGone(Now, index);
    std::erase_if(e.StreamEnds, [&](double t) { return t < Now; });
    double speed = PrefillTokensPerSecond;
    if (e.Role == EngineRole::Decode)
      speed /= 4;
    double budget = e.Gone ? 0 : speed * Step.count();
    while (!e.Queue.empty()) {
      Job &job = e.Queue.front();
      if (Now - job.Arrived > Seconds(Patience).count()) {
        Fairness.record(job.Tokens, false);
        e.Queue.pop_front();
        continue;
      }
      if (budget <= 0)
        return;
      double done = std::min(budget, job.Left);
      job.Left -= done;
      budget -= done;
      if (job.Left > 0)
        return;
      finish(job);
      e.Queue.pop_front();
    }
  }

  void finish(const Job &job) {
    double took = Now - job.Arrived + 0.06;
    ++Result.Served;
    Result.InTime += took <= Seconds(Objective).count() ? 1 : 0;
    Result.LargeServed += job.Tokens > 11'000 ? 1 : 0;
    Fairness.record(job.Tokens, true);
    // The stream runs at the least busy decode engine.
    SimEngine *least = nullptr;
    for (SimEngine &it : Engines)
      if (it.Role == EngineRole::Decode &&
          (!least || it.StreamEnds.size() < least->StreamEnds.size()))
        least = &it;
    least->StreamEnds.push_back(Now + StreamTime.count());
  }

  Load Play;
  std::vector<SimEngine> Engines;
  std::mt19937_64 Random{7};
  EngineSpeedModels Speeds{
      SpeedModel(Seconds(0.01), Seconds(1 / PrefillTokensPerSecond), 4'000),
      SpeedModel(Seconds(0.06), Seconds(4 / PrefillTokensPerSecond), 4'000),
      SpeedModel(Seconds(0.03), Seconds(1e-7), 4'000)};
  admission::SizeFairness Fairness;
  double Now = 0;
  Outcome Result;
};

double share(int part, int all) {
  return static_cast<double>(part) / std::max(1, all);
}

} // namespace

TEST_CASE("a load within the engines' means is nearly all in time") {
  Outcome o = Simulation({.Rate = [](double) { return 40.0; }}).run(30);
  CHECK(share(o.InTime, o.All) > 0.9);
  CHECK(share(o.Refused, o.All) < 0.01);
}

TEST_CASE("above the engines' means those in time do not collapse") {
  auto rate = [](double) { return 160.0; };
  Outcome ours = Simulation({.Rate = rate}).run(30);
  Outcome all = Simulation({.Rate = rate, .AcceptAll = true}).run(30);
  CHECK(ours.InTime > 2 * all.InTime);
  CHECK(ours.Refused > 0);
  // The largest tenth is served at least half as often as all.
  CHECK(share(ours.LargeServed, ours.Large) >
        0.5 * share(ours.Served, ours.All));
}

TEST_CASE("bursts of 3 s are refused no more than they must be") {
  auto rate = [](double t) { return std::fmod(t, 6.0) < 3 ? 90.0 : 25.0; };
  Outcome o = Simulation({.Rate = rate}).run(36);
  CHECK(share(o.InTime, o.All) > 0.7);
  CHECK(share(o.Served, o.All) > 0.9);
}

TEST_CASE("a third of the prefill engines gone is borne by the others") {
  Load load;
  load.Rate = [](double) { return 45.0; };
  load.EngineGone = [](double t, size_t i) { return i == 0 && t > 10; };
  Outcome o = Simulation(load).run(30);
  CHECK(share(o.Served, o.All) > 0.9);
  CHECK(share(o.InTime, o.All) > 0.7);
}
