#include "StandIns/Placement/FleetSimulation.h"

#include "Sardineford/Common/Random.h"
#include "Sardineford/Routing/EngineProbes.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>

namespace sardineford::standins {

using fleet::WorkPriority;
using routing::EngineCandidate;
using routing::EngineRole;

namespace {

/// Interval at which the loads are kept for reports.
constexpr Seconds SnapshotInterval{0.030};
/// Transfer of the key-value cache and the first event after it.
constexpr Seconds FetchTime{0.008};
constexpr Seconds StreamDurationWeight{0.1};
/// Ratio of the KV cache that is available to cached parts.
constexpr double CachedPartsRatio = 0.5;
/// Returned for the start of a part that is not cached.
constexpr MonoTime NoTime{};
/// The first seconds, in which the processes learn the speeds of the engines,
/// do not count.
constexpr Seconds WarmUp{3};
/// Requests of the last seconds may not end before the simulation does.
constexpr Seconds CoolDown{5};

double lognormal(std::mt19937_64 &random, double mean, double spread,
                 double maximum) {
  double sigma = std::sqrt(std::log(1 + spread * spread));
  std::lognormal_distribution<double> d(std::log(mean) - sigma * sigma / 2,
                                        sigma);
  return std::min(maximum, d(random));
}

} // namespace

double FleetOutcome::inTimeRatio() const {
  double requests = 0;
  double inTime = 0;
  for (const auto &[name, it] : Classes) {
    requests += it.Requests;
    inTime += it.InTime;
  }
  return inTime / std::max(1.0, requests);
}

struct FleetSimulation::Engine {
  Engine(const SimulatedEngineSpec &spec, EngineRole role)
      : Batch(spec, role) {}

  EngineSimulation Batch;
  bool IsStepping = false;
  unsigned Domain = 0;
  std::string Id;
  /// Work of all processes, now and as it was.
  fleet::WorkInFlight Work;
  std::deque<fleet::WorkInFlight> History;
  fleet::PartCache Parts;
  double PrefilledTokens = 0;
};

struct FleetSimulation::Process {
  unsigned Domain = 0;
  routing::EngineSpeedModels Speeds = routing::initialSpeedModels();
  std::map<std::string, Seconds> StreamDurations;
  std::map<std::string, admission::SizeFairness> Fairness;
  Seconds MeanStreamDuration{1};
  /// Own work and observed slowness by engine.
  std::vector<fleet::WorkInFlight> Work;
  std::vector<double> Slowness;
};

struct FleetSimulation::Arrival {
  const SimulatedClass *Class = nullptr;
  size_t Process = 0;
  SimulatedTime ArrivedAt{0};
  double OwnTokens = 0;
  uint64_t SharedPart = 0;
  unsigned Events = 1;
  WorkPriority Priority = WorkPriority::Urgent;
  Seconds FirstEvent{0};
  bool IsCounted = false;

  double promptTokens() const { return OwnTokens + Class->SharedTokens; }
};

struct FleetSimulation::View {
  std::vector<size_t> Engines;
  std::vector<EngineCandidate> Candidates;
};

FleetSimulation::FleetSimulation(FleetSimulationOptions options)
    : Options(std::move(options)), Random(Options.Seed),
      LoadRandom(Options.Seed) {
  auto prefillEngines = static_cast<unsigned>(
      std::lround(Options.PrefillRatio * Options.Engines));
  for (unsigned i = 0; i < Options.Engines; ++i) {
    Engine e(Options.Engine,
             i < prefillEngines ? EngineRole::Prefill : EngineRole::Decode);
    e.Domain = i % Options.FailureDomains;
    e.Id = "engine-" + std::to_string(i);
    e.Parts.setCapacity(
        static_cast<uint64_t>(Options.Engine.KvCacheTokens * CachedPartsRatio));
    if (std::uniform_real_distribution<double>(0, 1)(Random) <
        Options.SlowRatio)
      e.Batch.Slowdown = Options.Slowdown;
    Engines.push_back(std::move(e));
  }
  for (unsigned i = 0; i < Options.Processes; ++i) {
    Process p;
    p.Domain = i % Options.FailureDomains;
    p.Work.resize(Options.Engines);
    p.Slowness.resize(Options.Engines, 1);
    Processes.push_back(std::move(p));
  }
}

FleetSimulation::~FleetSimulation() = default;

void FleetSimulation::at(SimulatedTime time, std::function<void()> action) {
  Events.push({time, NextOrder++, std::move(action)});
}

FleetOutcome FleetSimulation::run() {
  for (size_t i = 0; i < Options.Classes.size(); ++i)
    scheduleArrival(i);
  takeSnapshot();
  while (!Events.empty() && Events.top().Time < Options.Duration) {
    Event e = Events.top();
    Events.pop();
    Now = e.Time;
    e.Action();
  }
  double busiest = 0;
  double sum = 0;
  double count = 0;
  for (const Engine &it : Engines) {
    if (it.Batch.role() != EngineRole::Prefill)
      continue;
    busiest = std::max(busiest, it.PrefilledTokens);
    sum += it.PrefilledTokens;
    ++count;
  }
  Result.SharedPrefilledRatio =
      SharedTokensPrefilled / std::max(1.0, SharedTokens);
  Result.PrefillUtilization =
      PrefillBusy / (Options.Duration * std::max(1.0, count));
  Result.BusiestPrefillEngine = sum > 0 ? busiest * count / sum : 0;
  return Result;
}

void FleetSimulation::takeSnapshot() {
  size_t kept = 2 + static_cast<size_t>(2 * Seconds(Options.ReportAge) /
                                        SnapshotInterval);
  for (Engine &it : Engines) {
    it.History.push_front(it.Work);
    if (it.History.size() > kept)
      it.History.pop_back();
  }
  at(Now + SnapshotInterval, [this] { takeSnapshot(); });
}

void FleetSimulation::scheduleArrival(size_t classIndex) {
  const SimulatedClass &c = Options.Classes[classIndex];
  double factor = Options.Shape ? Options.Shape(c, Now) : 1;
  std::exponential_distribution<double> gap(
      std::max(0.01, c.PerSecond * factor / Options.Clump));
  at(Now + Seconds(gap(LoadRandom)),
     [this, classIndex] { arriveTogether(classIndex); });
}

void FleetSimulation::arriveTogether(size_t classIndex) {
  scheduleArrival(classIndex);
  std::geometric_distribution<int> others(1 / Options.Clump);
  for (int i = others(LoadRandom); i >= 0; --i)
    arrive(classIndex);
}

bool FleetSimulation::isLarge(const Arrival &a) {
  return a.OwnTokens > 2 * a.Class->MeanPromptTokens;
}

void FleetSimulation::arrive(size_t classIndex) {
  const SimulatedClass &c = Options.Classes[classIndex];
  auto a = std::make_shared<Arrival>();
  a->Class = &c;
  a->Process = LoadRandom() % Processes.size();
  a->ArrivedAt = Now;
  a->OwnTokens =
      std::max(1.0, std::floor(lognormal(LoadRandom, c.MeanPromptTokens,
                                         c.PromptSpread, c.MaxPromptTokens)));
  a->SharedPart = hash64(c.Name, LoadRandom() % c.SharedParts);
  a->Events = static_cast<unsigned>(std::max(
      1.0, lognormal(LoadRandom, c.MeanEvents, 0.5, 3 * c.MeanEvents)));
  a->IsCounted = Now >= WarmUp && Now < Options.Duration - CoolDown;
  if (a->IsCounted) {
    ++Result.Classes[c.Name].Requests;
    Result.Classes[c.Name].Large += isLarge(*a) ? 1 : 0;
  }
  Seconds delay{0};
  if (Options.Knowledge == LoadKnowledge::Trackers)
    delay = Options.QueryTime;
  at(Now + delay, [this, a] { plan(a); });
}

double FleetSimulation::cachedTokens(const Engine &e, const Arrival &a) const {
  return e.Parts.contains(a.SharedPart) ? a.Class->SharedTokens : 0;
}

void FleetSimulation::recordSharedPart(Engine &e, const Arrival &a) {
  SharedTokens += a.Class->SharedTokens;
  SharedTokensPrefilled += a.Class->SharedTokens - cachedTokens(e, a);
  e.Parts.recordUse(a.SharedPart, static_cast<uint64_t>(a.Class->SharedTokens),
                    NoTime);
}

routing::RequestProfile FleetSimulation::profile(const Arrival &a) const {
  const Process &p = Processes[a.Process];
  auto duration = p.StreamDurations.find(a.Class->Name);
  return {static_cast<uint64_t>(a.promptTokens()),
          Seconds(a.Class->PauseObjective),
          duration == p.StreamDurations.end() ? Seconds(0) : duration->second,
          static_cast<uint64_t>(a.Class->SharedTokens)};
}

FleetSimulation::View
FleetSimulation::view(const Arrival &a, WorkPriority priority,
                      const std::vector<size_t> &considered) const {
  const Process &p = Processes[a.Process];
  View out;
  auto age = static_cast<size_t>(Seconds(Options.ReportAge) / SnapshotInterval);
  std::array<std::optional<size_t>, 2> preferred;
  std::array<uint64_t, 2> highest{};
  for (size_t i : considered) {
    const Engine &e = Engines[i];
    EngineCandidate c;
    c.Role = e.Batch.role();
    c.SameDomain = e.Domain == p.Domain;
    fleet::WorkInFlight work = e.Work;
    if (Options.Knowledge == LoadKnowledge::Reports) {
      // The own work is known at any time.
      work = e.History[std::min(age, e.History.size() - 1)];
      work.Requests = std::max(work.Requests, p.Work[i].Requests);
      for (size_t r = 0; r < fleet::NumWorkPriorities; ++r)
        work.Tokens[r] = std::max(work.Tokens[r], p.Work[i].Tokens[r]);
    }
    c.PromptTokensAhead = work.tokensAhead(priority);
    c.QueuedPromptTokens = work.tokensAhead(WorkPriority::Background);
    c.Requests = work.Requests;
    c.Slots = Options.Engine.Slots;
    if (c.Requests >= c.Slots)
      c.SlotWait = p.MeanStreamDuration * (c.Requests - c.Slots + 1.0) /
                   static_cast<double>(c.Slots);
    c.CachedTokens = static_cast<uint64_t>(cachedTokens(e, a));
    c.UncachedSharedTokens =
        static_cast<uint64_t>(a.Class->SharedTokens) - c.CachedTokens;
    c.Slowness = p.Slowness[i];
    size_t role = c.Role == EngineRole::Prefill ? 0 : 1;
    uint64_t score = hash64(e.Id, a.SharedPart);
    if (!preferred[role] || score > highest[role]) {
      preferred[role] = out.Candidates.size();
      highest[role] = score;
    }
    out.Engines.push_back(i);
    out.Candidates.push_back(c);
  }
  for (const std::optional<size_t> &it : preferred)
    if (it)
      out.Candidates[*it].IsPreferred = true;
  return out;
}

std::vector<size_t>
FleetSimulation::consideredEngines(const Arrival &a,
                                   std::optional<EngineRole> role) {
  std::vector<size_t> all(Engines.size());
  for (size_t i = 0; i < all.size(); ++i)
    all[i] = i;
  if (Options.Knowledge == LoadKnowledge::Reports)
    return all;
  std::vector<size_t> ranked = all;
  std::sort(ranked.begin(), ranked.end(), [&](size_t x, size_t y) {
    return hash64(Engines[x].Id, a.SharedPart) >
           hash64(Engines[y].Id, a.SharedPart);
  });
  std::vector<EngineCandidate> candidates(all.size());
  for (size_t i : all) {
    candidates[i].Role = Engines[i].Batch.role();
    candidates[i].SameDomain = Engines[i].Domain == Processes[a.Process].Domain;
  }
  return routing::chooseProbes(candidates, ranked, role, Random);
}

void FleetSimulation::plan(const ArrivalPtr &a) {
  Process &p = Processes[a->Process];
  std::vector<size_t> considered = consideredEngines(*a, std::nullopt);
  std::array<std::optional<routing::PlacementChoice>, fleet::NumWorkPriorities>
      choices;
  std::array<View, fleet::NumWorkPriorities> views;
  for (size_t i = 0; i < choices.size(); ++i) {
    views[i] = view(*a, static_cast<WorkPriority>(i), considered);
    choices[i] = routing::placeRequest(views[i].Candidates, profile(*a),
                                       p.Speeds, Random);
  }
  admission::StreamAdmissionInput o;
  o.FirstEstimate = choices[0]->TimeToFirstEvent;
  o.UrgentEstimate = choices[1]->TimeToFirstEvent;
  o.BackgroundEstimate = choices[2]->TimeToFirstEvent;
  o.PromptPrefillTime = choices[2]->PromptPrefillTime;
  o.Objective = a->Class->Objective;
  o.CallerTimeout = a->Class->CallerTimeout;
  o.RemainingTime = a->Class->CallerTimeout * 4;
  o.IsUnderserved = p.Fairness[a->Class->Name].isUnderserved(a->promptTokens());
  admission::StreamDecision d = admission::decideStream(o);
  if (!d.Priority) {
    if (a->IsCounted)
      ++Result.Classes[a->Class->Name].Rejected;
    p.Fairness[a->Class->Name].record(a->promptTokens(), false);
    return;
  }
  a->Priority = *d.Priority;
  auto chosen = static_cast<size_t>(*d.Priority);
  const routing::PlacementChoice &c = *choices[chosen];
  if (c.Prefill)
    prefillApart(a, views[chosen].Engines[*c.Prefill]);
  else
    runStream(a, views[chosen].Engines[c.Decode], false);
}

void FleetSimulation::submit(size_t engine, SimulatedSequencePtr s) {
  at(Now + Options.Engine.Setup, [this, engine, s] {
    Engines[engine].Batch.add(s);
    if (!Engines[engine].IsStepping)
      stepEngine(engine);
  });
}

void FleetSimulation::stepEngine(size_t engine) {
  std::optional<SimulatedTime> end = Engines[engine].Batch.step(Now);
  if (end && Engines[engine].Batch.role() == EngineRole::Prefill)
    PrefillBusy += *end - Now;
  Engines[engine].IsStepping = end.has_value();
  if (end)
    at(*end, [this, engine] { stepEngine(engine); });
}

namespace {

void observe(routing::SpeedModel &model, double &slowness, double units,
             Seconds duration) {
  double ratio = duration / std::max(model.estimate(units), Seconds(0.001));
  slowness += (std::clamp(ratio, 0.5, 8.0) - slowness) * 0.1;
  model.observe(units, duration);
}

} // namespace

void FleetSimulation::prefillApart(const ArrivalPtr &a, size_t engine) {
  ++Result.SeparatePrefills;
  Engine &e = Engines[engine];
  Process &p = Processes[a->Process];
  double tokens = std::max(1.0, a->promptTokens() - cachedTokens(e, *a));
  double ahead = e.Work.tokensAhead(a->Priority);
  recordSharedPart(e, *a);
  e.PrefilledTokens += tokens;
  for (fleet::WorkInFlight *it : {&e.Work, &p.Work[engine]}) {
    it->tokens(a->Priority) += tokens;
    ++it->Requests;
  }
  auto s = std::make_shared<SimulatedSequence>();
  s->Priority = a->Priority;
  s->PromptTokens = a->promptTokens();
  s->RemainingPrefill = tokens;
  SimulatedTime start = Now;
  s->OnFirstEvent = [this, a, engine, tokens, ahead, start](SimulatedTime now) {
    Process &p = Processes[a->Process];
    for (fleet::WorkInFlight *it : {&Engines[engine].Work, &p.Work[engine]}) {
      it->tokens(a->Priority) -= tokens;
      --it->Requests;
    }
    observe(p.Speeds.Prefill, p.Slowness[engine], ahead + tokens, now - start);
    at(now, [this, a] { fetch(a); });
  };
  submit(engine, s);
}

void FleetSimulation::fetch(const ArrivalPtr &a) {
  View v = view(*a, a->Priority, consideredEngines(*a, EngineRole::Decode));
  std::optional<size_t> choice = routing::chooseFetchEngine(
      v.Candidates, profile(*a), Processes[a->Process].Speeds, Random);
  runStream(a, v.Engines[*choice], true);
}

void FleetSimulation::runStream(const ArrivalPtr &a, size_t engine,
                                bool isPrefilled) {
  Engine &e = Engines[engine];
  Process &p = Processes[a->Process];
  double tokens = 0;
  if (!isPrefilled) {
    tokens = std::max(1.0, a->promptTokens() - cachedTokens(e, *a));
    recordSharedPart(e, *a);
  }
  double ahead = e.Work.tokensAhead(a->Priority);
  unsigned requests = e.Work.Requests + 1;
  for (fleet::WorkInFlight *it : {&e.Work, &p.Work[engine]}) {
    it->tokens(a->Priority) += tokens;
    ++it->Requests;
  }
  auto s = std::make_shared<SimulatedSequence>();
  s->Priority = isPrefilled ? WorkPriority::First : a->Priority;
  s->PromptTokens = a->promptTokens();
  s->RemainingPrefill = tokens;
  s->Events = a->Events;
  SimulatedTime start = Now;
  s->OnFirstEvent = [=, this](SimulatedTime now) {
    Process &p = Processes[a->Process];
    for (fleet::WorkInFlight *it : {&Engines[engine].Work, &p.Work[engine]})
      it->tokens(a->Priority) -= tokens;
    if (isPrefilled)
      observe(p.Speeds.Fetch, p.Slowness[engine], a->promptTokens(),
              now - start);
    else
      observe(p.Speeds.Colocated, p.Slowness[engine], ahead + tokens,
              now - start);
    a->FirstEvent = now - a->ArrivedAt;
  };
  SimulatedSequence *sequence = s.get();
  s->OnEnd = [=, this](SimulatedTime now) {
    Process &p = Processes[a->Process];
    for (fleet::WorkInFlight *it : {&Engines[engine].Work, &p.Work[engine]})
      --it->Requests;
    Seconds duration = now - a->ArrivedAt - a->FirstEvent;
    if (a->Events > 1)
      p.Speeds.Pace.observe(requests,
                            duration / static_cast<double>(a->Events - 1));
    p.MeanStreamDuration +=
        (duration - p.MeanStreamDuration) * StreamDurationWeight.count();
    auto [mean, isNew] =
        p.StreamDurations.try_emplace(a->Class->Name, duration);
    if (!isNew)
      mean->second += (duration - mean->second) * StreamDurationWeight.count();
    finish(a, now, *sequence);
  };
  if (!isPrefilled) {
    submit(engine, s);
    return;
  }
  at(Now + FetchTime, [this, engine, s] {
    Engines[engine].Batch.add(s);
    if (!Engines[engine].IsStepping)
      stepEngine(engine);
  });
}

void FleetSimulation::finish(const ArrivalPtr &a, SimulatedTime /*end*/,
                             const SimulatedSequence &s) {
  bool isServed = a->FirstEvent <= Seconds(a->Class->CallerTimeout);
  Processes[a->Process].Fairness[a->Class->Name].record(a->promptTokens(),
                                                        isServed);
  if (!a->IsCounted)
    return;
  CallerOutcome &o = Result.Classes[a->Class->Name];
  bool isFirstLate = a->FirstEvent > Seconds(a->Class->Objective);
  bool isPauseLate = s.LongestPause > Seconds(a->Class->PauseObjective);
  o.Served += isServed ? 1 : 0;
  o.LargeServed += isServed && isLarge(*a) ? 1 : 0;
  if (isFirstLate)
    ++o.LateFirstEvent;
  else if (isPauseLate)
    ++o.LatePause;
  else {
    ++o.InTime;
    o.LargeInTime += isLarge(*a) ? 1 : 0;
  }
}

} // namespace sardineford::standins
