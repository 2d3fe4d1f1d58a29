#include "StandIns/Placement/CrashSimulation.h"

#include "StandIns/Placement/FindingNetwork.h"

#include <algorithm>
#include <random>
#include <set>
#include <vector>

namespace sardineford::standins {

namespace {

constexpr Milliseconds PrefillTime{80};
constexpr Milliseconds AnswerTime{700};
constexpr Milliseconds ShortAnswerTime{30};
/// Time from the break of a connection until the crash is confirmed.
constexpr Milliseconds CheckTime{8};
constexpr unsigned PartCrashesUntilBound = 5;
constexpr unsigned RepeatCrashesUntilBound = 3;
constexpr int MaxAttempts = 2;

/// Ids of prompt parts. Callers' parts follow.
constexpr uint64_t CommonPart = 1;
constexpr uint64_t CrashingPart = 2;
constexpr uint64_t FirstCallerPart = 100;
/// Hashes of requests: the crashing one, sound ones that repeat, all others.
constexpr uint64_t CrashingRequest = 1;
constexpr uint64_t FirstRepeat = 100;
constexpr uint64_t NumRepeats = 10;
constexpr uint64_t FirstSingle = 1'000;

struct Request {
  size_t Process = 0;
  std::vector<uint64_t> Parts;
  bool Crashes = false;
  int Attempts = 0;
  bool IsLate = false;
};

struct Answer {
  Request Of;
  MonoTime Begin{};
  bool HasBegun = false;
};

struct SimulatedEngine {
  unsigned Incarnation = 1;
  bool Runs = true;
  MonoTime CrashedAt{};
  std::map<uint64_t, Answer> Answers;
};

class Simulation {
public:
  explicit Simulation(const CrashSimulationOptions &o)
      : Options(o), Net(o.Processes, o.LossRatio, o.Seed), Engines(o.Engines) {}

  CrashOutcome run() {
    arrive(Options.SoundPerSecond, false);
    arrive(Options.CrashingPerSecond, true);
    crashForOtherReasons();
    Net.disturb(Options.CutOffRatio, Options.RestartRatio, Options.Length / 2,
                Options.StabilityWindow);
    Net.runUntil(MonoTime{} + Options.Length);
    Out.MeanBytesPerSecond = Net.meanBytesPerSecond();
    Out.MostBytesPerSecond = Net.mostBytesPerSecond();
    return Out;
  }

private:
  void arrive(double rate, bool crashes) {
    if (rate <= 0)
      return;
    Net.at(fromSeconds(std::exponential_distribution<>(rate)(Net.random())),
           [this, rate, crashes] {
             Request r;
             r.Process = Net.random()() % Net.size();
             r.Crashes = crashes;
             r.Parts =
                 Options.AreRepeats ? repeatKeys(crashes) : partKeys(crashes);
             begin(std::move(r));
             arrive(rate, crashes);
           });
  }

  std::vector<fleet::SuspectKey> partKeys(bool crashes) {
    uint64_t caller = Net.random()() % Options.Callers;
    if (crashes && Net.happens(Options.OneCallerRatio))
      caller = 0;
    std::vector<fleet::SuspectKey> out = {CommonPart, FirstCallerPart + caller};
    if (crashes)
      out.push_back(CrashingPart);
    return out;
  }

  std::vector<fleet::SuspectKey> repeatKeys(bool crashes) {
    uint64_t hash = FirstSingle + NextAnswer++;
    if (crashes)
      hash = CrashingRequest;
    else if (Net.happens(Options.SoundRepeatRatio))
      hash = FirstRepeat + Net.random()() % NumRepeats;
    return {fleet::keyOfRequest(hash)};
  }

  unsigned crashesUntilBound() const {
    return Options.AreRepeats ? RepeatCrashesUntilBound : PartCrashesUntilBound;
  }

  bool isAfterBound(Milliseconds time) const {
    return PartCrashes > 0 && Net.now() - BoundFrom > time;
  }

  void begin(Request r) {
    if (r.Attempts == 0 && !r.Crashes) {
      ++Out.Sound;
      r.IsLate = isAfterBound(Options.StabilityWindow * 2);
      Out.LateSound += r.IsLate ? 1 : 0;
    }
    fleet::SuspectDecision decision =
        Net.findings(r.Process).decide(r.Parts, Net.now());
    std::vector<size_t> running;
    for (size_t i = 0; i < Engines.size(); ++i)
      if (Engines[i].Runs)
        running.push_back(i);
    if (running.empty())
      return;
    if (decision.Blocked) {
      Out.SoundRejected += r.Crashes ? 0 : 1;
      return;
    }
    bool isBound = PartCrashes >= crashesUntilBound() &&
                   isAfterBound(Options.StabilityWindow) &&
                   !Net.isDisturbed(r.Process);
    if (r.Crashes && isBound)
      ++Out.LateArrivals;
    if (decision.Tried)
      Net.findings(r.Process).recordTrial(*decision.Tried, Net.now());
    ++r.Attempts;
    size_t engine = running[Net.random()() % running.size()];
    uint64_t id = NextAnswer++;
    Engines[engine].Answers[id] = {std::move(r), {}, false};
    Net.at(PrefillTime / 2 + Net.randomTime(PrefillTime),
           [this, engine, id] { answer(engine, id); });
  }

  void answer(size_t engine, uint64_t id) {
    auto it = Engines[engine].Answers.find(id);
    if (it == Engines[engine].Answers.end())
      return;
    Answer &a = it->second;
    if (Net.happens(Options.CutAnswerRatio)) {
      Engines[engine].Answers.erase(it);
      return;
    }
    a.HasBegun = true;
    a.Begin = Net.now();
    if (a.Of.IsLate && a.Of.Attempts == 1)
      ++Out.LateSoundBegun;
    if (a.Of.Crashes) {
      Net.at(Milliseconds(40) + Net.randomTime(Milliseconds(80)),
             [this, engine, incarnation = Engines[engine].Incarnation] {
               if (Engines[engine].Incarnation != incarnation)
                 return;
               if (++PartCrashes <= crashesUntilBound())
                 BoundFrom = Net.now();
               crash(engine, Options.TakenAlong);
             });
      if (!Options.ShortAnswers)
        return;
    }
    if (Options.ShortAnswers || Options.AreRepeats) {
      Net.at(ShortAnswerTime,
             [this, engine, id] { completeShort(engine, id); });
      return;
    }
    Net.at(fleet::CrashAnswerTime, [this, engine, id] {
      auto found = Engines[engine].Answers.find(id);
      if (found != Engines[engine].Answers.end())
        Net.findings(found->second.Of.Process)
            .recordSound(found->second.Of.Parts, found->second.Begin,
                         Net.now());
    });
    Net.at(AnswerTime,
           [this, engine, id] { Engines[engine].Answers.erase(id); });
  }

  /// Ends a short answer and judges it as CrashCheck does.
  void completeShort(size_t engine, uint64_t id) {
    auto node = Engines[engine].Answers.extract(id);
    if (node.empty())
      return;
    peers::Findings &local = Net.findings(node.mapped().Of.Process);
    const std::vector<fleet::SuspectKey> &keys = node.mapped().Of.Parts;
    if (Options.AreRepeats && !local.needsSoundAnswer(keys, Net.now())) {
      local.recordSound(keys, node.mapped().Begin, Net.now());
      return;
    }
    Net.at(fleet::CrashAnswerTime,
           [this, engine, incarnation = Engines[engine].Incarnation,
            a = std::move(node.mapped())] {
             peers::Findings &findings = Net.findings(a.Of.Process);
             const SimulatedEngine &e = Engines[engine];
             if (e.Incarnation != incarnation)
               findings.recordCrash(serverOf(engine, incarnation + 1),
                                    e.CrashedAt, a.Of.Parts, Net.now());
             else if (findings.needsSoundAnswer(a.Of.Parts, Net.now()))
               findings.recordSound(a.Of.Parts, a.Begin, Net.now());
           });
  }

  static uint32_t serverOf(size_t engine, unsigned incarnation) {
    return static_cast<uint32_t>(engine * 1'000 + incarnation);
  }

  void crash(size_t engine, size_t takenAlong) {
    SimulatedEngine &e = Engines[engine];
    if (!e.Runs)
      return;
    ++Out.Crashes;
    e.Runs = false;
    ++e.Incarnation;
    e.CrashedAt = Net.now();
    std::map<size_t, std::set<uint64_t>> suspects;
    std::vector<Request> toRepeat;
    for (auto &[id, it] : std::exchange(e.Answers, {})) {
      bool isSound =
          it.HasBegun && Net.now() - it.Begin >= fleet::CrashAnswerTime;
      if (!isSound)
        suspects[it.Of.Process].insert(it.Of.Parts.begin(), it.Of.Parts.end());
      if (it.Of.Attempts < MaxAttempts)
        toRepeat.push_back(it.Of);
    }
    uint32_t server = serverOf(engine, e.Incarnation);
    for (const auto &it : suspects)
      Net.at(CheckTime, [this, server, crashedAt = Net.now(),
                         process = it.first,
                         parts = std::vector<uint64_t>(it.second.begin(),
                                                       it.second.end())] {
        Net.findings(process).recordCrash(server, crashedAt, parts, Net.now());
      });
    for (Request &it : toRepeat)
      Net.at(Milliseconds(1), [this, it] { begin(it); });
    Net.at(Options.RestartTime,
           [this, engine] { Engines[engine].Runs = true; });
    for (size_t i = 1; i <= takenAlong; ++i)
      Net.at(Net.randomTime(Milliseconds(150)),
             [this, engine, i] { crash((engine + i) % Engines.size(), 0); });
  }

  void crashForOtherReasons() {
    if (Options.OtherCrashesPerSecond <= 0)
      return;
    Net.at(fromSeconds(std::exponential_distribution<>(
               Options.OtherCrashesPerSecond)(Net.random())),
           [this] {
             crash(Net.random()() % Engines.size(), Options.TakenAlong);
             crashForOtherReasons();
           });
  }

  CrashSimulationOptions Options;
  FindingNetwork Net;
  std::vector<SimulatedEngine> Engines;
  uint64_t NextAnswer = 0;
  unsigned PartCrashes = 0;
  MonoTime BoundFrom{};
  CrashOutcome Out;
};

} // namespace

CrashOutcome simulateCrashes(const CrashSimulationOptions &o) {
  return Simulation(o).run();
}

} // namespace sardineford::standins
