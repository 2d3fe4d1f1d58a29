#pragma once

#include "Sardineford/Admission/SizeFairness.h"
#include "Sardineford/Admission/StreamAdmission.h"
#include "Sardineford/Fleet/PartCache.h"
#include "Sardineford/Routing/Placement.h"
#include "StandIns/Placement/EngineSimulation.h"

#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace sardineford::standins {

/// Requests of one kind in a simulated load.
struct SimulatedClass {
  std::string Name;
  double PerSecond = 1;
  /// Logarithmic normal distribution of the request's own prompt tokens.
  double MeanPromptTokens = 1'000;
  double PromptSpread = 1;
  double MaxPromptTokens = 10'000;
  /// Prompt part that requests share, and the number of different ones.
  double SharedTokens = 0;
  unsigned SharedParts = 1;
  double MeanEvents = 10;
  Milliseconds Objective{500};
  Milliseconds PauseObjective{150};
  Milliseconds CallerTimeout{2'000};
};

/// How a process knows the work of the others.
enum class LoadKnowledge {
  /// By reports that are some time old.
  Reports,
  /// By asking the trackers of a few engines.
  Trackers,
};

struct FleetSimulationOptions {
  unsigned Processes = 6;
  unsigned Engines = 9;
  double PrefillRatio = 0.25;
  unsigned FailureDomains = 3;
  LoadKnowledge Knowledge = LoadKnowledge::Trackers;
  /// Mean age of the reports.
  Milliseconds ReportAge{60};
  /// Time to ask trackers.
  Milliseconds QueryTime{4};
  /// Ratio of the engines that are slow, and their factor on the time.
  double SlowRatio = 0;
  double Slowdown = 3.5;
  std::vector<SimulatedClass> Classes;
  /// Factor on the rate of a class at a time.
  std::function<double(const SimulatedClass &, SimulatedTime)> Shape;
  /// Mean number of requests that arrive together.
  double Clump = 3;
  SimulatedEngineSpec Engine;
  Seconds Duration{20};
  uint64_t Seed = 1;
};

/// What the callers of one kind of request got.
struct CallerOutcome {
  unsigned Requests = 0;
  unsigned InTime = 0;
  unsigned LateFirstEvent = 0;
  unsigned LatePause = 0;
  unsigned Rejected = 0;
  /// Answered before the caller gave up, late or in time.
  unsigned Served = 0;
  /// Requests with more than twice the mean prompt, about the largest tenth.
  unsigned Large = 0;
  unsigned LargeInTime = 0;
  unsigned LargeServed = 0;
};

struct FleetOutcome {
  std::map<std::string, CallerOutcome> Classes;
  /// Prefilled tokens at the busiest engine of a role, relative to the mean.
  double BusiestPrefillEngine = 0;
  unsigned SeparatePrefills = 0;
  /// Ratio of the tokens in shared parts that were prefilled and not found
  /// cached.
  double SharedPrefilledRatio = 0;
  /// Ratio of the time that the prefill engines were busy.
  double PrefillUtilization = 0;

  double inTimeRatio() const;
};

/// Simulates many processes that place requests at the engines with the
/// product's own decisions, in virtual time and without a network.
class FleetSimulation {
public:
  explicit FleetSimulation(FleetSimulationOptions options);
  ~FleetSimulation();
  FleetOutcome run();

private:
  struct Engine;
  struct Process;
  struct Arrival;
  struct View;
  using ArrivalPtr = std::shared_ptr<Arrival>;

  void at(SimulatedTime time, std::function<void()> action);
  void scheduleArrival(size_t classIndex);
  void arriveTogether(size_t classIndex);
  void arrive(size_t classIndex);
  void plan(const ArrivalPtr &a);
  void prefillApart(const ArrivalPtr &a, size_t engine);
  void fetch(const ArrivalPtr &a);
  void runStream(const ArrivalPtr &a, size_t engine, bool isPrefilled);
  void finish(const ArrivalPtr &a, SimulatedTime end,
              const SimulatedSequence &s);
  void submit(size_t engine, SimulatedSequencePtr s);
  void stepEngine(size_t engine);
  void takeSnapshot();
  View view(const Arrival &a, fleet::WorkPriority priority,
            const std::vector<size_t> &considered) const;
  std::vector<size_t>
  consideredEngines(const Arrival &a, std::optional<routing::EngineRole> role);
  routing::RequestProfile profile(const Arrival &a) const;
  static bool isLarge(const Arrival &a);
  double cachedTokens(const Engine &e, const Arrival &a) const;
  void recordSharedPart(Engine &e, const Arrival &a);

  FleetSimulationOptions Options;
  std::mt19937_64 Random;
  /// Draws the load, so that it is the same for different decisions.
  std::mt19937_64 LoadRandom;
  std::vector<Engine> Engines;
  std::vector<Process> Processes;
  std::map<std::string, double> LargeSizes;
  FleetOutcome Result;
  Seconds PrefillBusy{0};
  double SharedTokens = 0;
  double SharedTokensPrefilled = 0;
  SimulatedTime Now{0};

  struct Event {
    SimulatedTime Time;
    uint64_t Order;
    std::function<void()> Action;
    bool operator<(const Event &o) const {
      return Time != o.Time ? Time > o.Time : Order > o.Order;
    }
  };
  std::priority_queue<Event> Events;
  uint64_t NextOrder = 0;
};

} // namespace sardineford::standins
