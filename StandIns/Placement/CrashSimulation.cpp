#include "StandIns/Placement/CrashSimulation.h"

#include "Messages/Messages.pb.h"
#include "Peers/Findings.h"
#include "Peers/Mesh.h"

#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <vector>

namespace sardineford::standins {

namespace {

constexpr size_t DatagramHeaderBytes = 28;
constexpr Milliseconds ReportInterval{500};
constexpr Milliseconds PrefillTime{80};
constexpr Milliseconds AnswerTime{700};
/// Time from the break of a connection until the crash is confirmed.
constexpr Milliseconds CheckTime{8};
constexpr unsigned CrashesUntilBound = 5;
constexpr int MaxAttempts = 2;
/// A process counts as undisturbed again a stability window after this.
constexpr Milliseconds CutTime{4'000};

/// Ids of prompt parts. Callers' parts follow.
constexpr uint64_t CommonPart = 1;
constexpr uint64_t CrashingPart = 2;
constexpr uint64_t FirstCallerPart = 100;

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
  std::map<uint64_t, Answer> Answers;
};

struct SimulatedProcess {
  metrics::Metrics Metrics;
  std::unique_ptr<peers::Findings> Findings;
  bool IsCutOff = false;
  MonoTime DisturbedUntil{};
  peers::MeshPlan Plan;
  double Bytes = 0;
  std::map<int64_t, double> BytesBySecond;
};

class Simulation {
public:
  explicit Simulation(const CrashSimulationOptions &o)
      : Options(o), Random(o.Seed), Engines(o.Engines), Processes(o.Processes) {
    for (size_t i = 0; i < o.Processes; ++i) {
      All.push_back({"domain", addressOf(i)});
      Processes[i].Plan = peers::planMesh(o.Processes, i);
    }
    for (size_t i = 0; i < o.Processes; ++i)
      restart(i);
  }

  CrashOutcome run() {
    for (size_t i = 0; i < Processes.size(); ++i)
      at(randomTime(ReportInterval), [this, i] {
        report(i);
        endTurn(i);
      });
    arrive(Options.SoundPerSecond, false);
    arrive(Options.CrashingPerSecond, true);
    crashForOtherReasons();
    disturb();
    MonoTime end = MonoTime{} + Options.Length;
    while (!Events.empty() && Events.top().At < end) {
      Event e = Events.top();
      Events.pop();
      Now = e.At;
      e.Act();
    }
    for (const SimulatedProcess &it : Processes) {
      Out.MeanBytesPerSecond += it.Bytes / toSeconds(Options.Length) /
                                static_cast<double>(Processes.size());
      for (const auto &[second, bytes] : it.BytesBySecond)
        Out.MostBytesPerSecond = std::max(Out.MostBytesPerSecond, bytes);
    }
    return Out;
  }

private:
  struct Event {
    MonoTime At;
    uint64_t Order = 0;
    std::function<void()> Act;
    bool operator<(const Event &o) const {
      return At != o.At ? At > o.At : Order > o.Order;
    }
  };

  static http::Endpoint addressOf(size_t i) {
    return {"10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250),
            7000};
  }

  void at(MonoClock::duration delay, std::function<void()> act) {
    Events.push({Now + delay, NextOrder++, std::move(act)});
  }

  Milliseconds randomTime(Milliseconds most) {
    return Milliseconds(Random() % static_cast<uint64_t>(most.count() + 1));
  }

  bool happens(double probability) {
    return std::uniform_real_distribution<>()(Random) < probability;
  }

  void restart(size_t i) {
    Processes[i].Findings = std::make_unique<peers::Findings>(
        Processes[i].Metrics, addressOf(i),
        [this, i](const messages::LoadShare &datagram,
                  const http::Endpoint &to) {
          for (size_t j = 0; j < All.size(); ++j)
            if (All[j].Address == to)
              send(i, j, datagram);
        },
        [this, i](const messages::LoadShare &datagram) {
          for (size_t j : Processes[i].Plan.SameGroup)
            send(i, j, datagram);
          for (size_t j : Processes[i].Plan.OtherGroups)
            send(i, j, datagram);
        });
    Processes[i].Findings->setProcesses(All);
  }

  void transmit(size_t from, size_t to, size_t bytes,
                std::function<void()> receive) {
    auto second =
        std::chrono::duration_cast<std::chrono::seconds>(Now.time_since_epoch())
            .count();
    auto n = static_cast<double>(bytes + DatagramHeaderBytes);
    Processes[from].Bytes += n;
    Processes[from].BytesBySecond[second] += n;
    bool isLost = Processes[from].IsCutOff || happens(Options.LossRatio);
    if (!isLost)
      at(Milliseconds(1) + randomTime(Milliseconds(3)),
         [this, to, receive = std::move(receive)] {
           if (!Processes[to].IsCutOff)
             receive();
         });
  }

  void send(size_t from, size_t to, const messages::LoadShare &datagram) {
    transmit(from, to, datagram.ByteSizeLong(), [this, from, to, datagram] {
      Processes[to].Findings->handle(datagram, Now);
      const std::vector<size_t> &group = Processes[to].Plan.SameGroup;
      bool isInGroup =
          std::find(group.begin(), group.end(), from) != group.end();
      if (datagram.findings().relayed() || !isInGroup)
        return;
      messages::LoadShare copy = datagram;
      copy.mutable_findings()->set_relayed(true);
      for (size_t it : Processes[to].Plan.OtherGroups)
        send(to, it, copy);
    });
  }

  /// Only the digest of a report is played; its bytes are not those of
  /// findings.
  void report(size_t i) {
    uint32_t digest = Processes[i].Findings->digest();
    auto sendDigest = [&](size_t to) {
      if (Processes[i].IsCutOff || happens(Options.LossRatio))
        return;
      at(Milliseconds(2), [this, i, to, digest] {
        if (!Processes[to].IsCutOff)
          Processes[to].Findings->checkPeer(digest, addressOf(i), Now);
      });
    };
    std::for_each(Processes[i].Plan.SameGroup.begin(),
                  Processes[i].Plan.SameGroup.end(), sendDigest);
    std::for_each(Processes[i].Plan.OtherGroups.begin(),
                  Processes[i].Plan.OtherGroups.end(), sendDigest);
    at(ReportInterval, [this, i] { report(i); });
  }

  void endTurn(size_t i) {
    Processes[i].Findings->endTurn(Now);
    at(peers::isGrouped(Processes.size()) ? ReportInterval / 2
                                          : Milliseconds(60),
       [this, i] { endTurn(i); });
  }

  void arrive(double rate, bool crashes) {
    if (rate <= 0)
      return;
    at(fromSeconds(std::exponential_distribution<>(rate)(Random)),
       [this, rate, crashes] {
         Request r;
         r.Process = Random() % Processes.size();
         r.Crashes = crashes;
         uint64_t caller = Random() % Options.Callers;
         if (crashes && happens(Options.OneCallerRatio))
           caller = 0;
         r.Parts = {CommonPart, FirstCallerPart + caller};
         if (crashes)
           r.Parts.push_back(CrashingPart);
         begin(std::move(r));
         arrive(rate, crashes);
       });
  }

  bool isAfterBound(Milliseconds time) const {
    return PartCrashes > 0 && Now - BoundFrom > time;
  }

  void begin(Request r) {
    if (r.Attempts == 0 && !r.Crashes) {
      ++Out.Sound;
      r.IsLate = isAfterBound(Options.StabilityWindow * 2);
      Out.LateSound += r.IsLate ? 1 : 0;
    }
    fleet::PartsDecision decision =
        Processes[r.Process].Findings->decide(r.Parts, Now);
    std::vector<size_t> running;
    for (size_t i = 0; i < Engines.size(); ++i)
      if (Engines[i].Runs)
        running.push_back(i);
    if (running.empty())
      return;
    if (decision.BlockedPart) {
      Out.SoundRejected += r.Crashes ? 0 : 1;
      return;
    }
    bool isBound = PartCrashes >= CrashesUntilBound &&
                   isAfterBound(Options.StabilityWindow) &&
                   Now >= Processes[r.Process].DisturbedUntil;
    if (r.Crashes && isBound)
      ++Out.LateArrivals;
    if (decision.TriedPart)
      Processes[r.Process].Findings->recordTrial(*decision.TriedPart, Now);
    ++r.Attempts;
    size_t engine = running[Random() % running.size()];
    uint64_t id = NextAnswer++;
    Engines[engine].Answers[id] = {std::move(r), {}, false};
    at(PrefillTime / 2 + randomTime(PrefillTime),
       [this, engine, id] { answer(engine, id); });
  }

  void answer(size_t engine, uint64_t id) {
    auto it = Engines[engine].Answers.find(id);
    if (it == Engines[engine].Answers.end())
      return;
    Answer &a = it->second;
    a.HasBegun = true;
    a.Begin = Now;
    if (a.Of.IsLate && a.Of.Attempts == 1)
      ++Out.LateSoundBegun;
    if (a.Of.Crashes) {
      at(Milliseconds(40) + randomTime(Milliseconds(80)),
         [this, engine, incarnation = Engines[engine].Incarnation] {
           if (Engines[engine].Incarnation != incarnation)
             return;
           if (++PartCrashes <= CrashesUntilBound)
             BoundFrom = Now;
           crash(engine, Options.TakenAlong);
         });
      return;
    }
    at(fleet::CrashAnswerTime, [this, engine, id] {
      auto found = Engines[engine].Answers.find(id);
      if (found != Engines[engine].Answers.end())
        Processes[found->second.Of.Process].Findings->recordSound(
            found->second.Of.Parts, found->second.Begin, Now);
    });
    at(AnswerTime, [this, engine, id] { Engines[engine].Answers.erase(id); });
  }

  void crash(size_t engine, size_t takenAlong) {
    SimulatedEngine &e = Engines[engine];
    if (!e.Runs)
      return;
    ++Out.Crashes;
    e.Runs = false;
    ++e.Incarnation;
    std::map<size_t, std::set<uint64_t>> suspects;
    std::vector<Request> toRepeat;
    for (auto &[id, it] : std::exchange(e.Answers, {})) {
      bool isSound = it.HasBegun && Now - it.Begin >= fleet::CrashAnswerTime;
      if (!isSound)
        suspects[it.Of.Process].insert(it.Of.Parts.begin(), it.Of.Parts.end());
      if (it.Of.Attempts < MaxAttempts)
        toRepeat.push_back(it.Of);
    }
    auto server = static_cast<uint32_t>(engine * 1'000 + e.Incarnation);
    for (auto &[process, parts] : suspects)
      at(CheckTime, [this, process, server, crashedAt = Now,
                     list = std::vector<uint64_t>(parts.begin(), parts.end())] {
        Processes[process].Findings->recordCrash(server, crashedAt, list, Now);
      });
    for (Request &it : toRepeat)
      at(Milliseconds(1), [this, it] { begin(it); });
    at(Options.RestartTime, [this, engine] { Engines[engine].Runs = true; });
    for (size_t i = 1; i <= takenAlong; ++i)
      at(randomTime(Milliseconds(150)),
         [this, engine, i] { crash((engine + i) % Engines.size(), 0); });
  }

  void crashForOtherReasons() {
    if (Options.OtherCrashesPerSecond <= 0)
      return;
    at(fromSeconds(std::exponential_distribution<>(
           Options.OtherCrashesPerSecond)(Random)),
       [this] {
         crash(Random() % Engines.size(), Options.TakenAlong);
         crashForOtherReasons();
       });
  }

  void disturb() {
    for (size_t i = 0; i < Processes.size(); ++i) {
      if (happens(Options.CutOffRatio))
        at(randomTime(Options.Length / 2), [this, i] {
          Processes[i].IsCutOff = true;
          disturbUntil(i, CutTime);
          at(CutTime, [this, i] { Processes[i].IsCutOff = false; });
        });
      if (happens(Options.RestartRatio))
        at(randomTime(Options.Length / 2), [this, i] {
          restart(i);
          disturbUntil(i, Milliseconds(0));
        });
    }
  }

  void disturbUntil(size_t i, Milliseconds length) {
    Processes[i].DisturbedUntil = Now + length + Options.StabilityWindow;
  }

  CrashSimulationOptions Options;
  std::mt19937_64 Random;
  MonoTime Now{};
  uint64_t NextOrder = 0;
  std::priority_queue<Event> Events;
  std::vector<SimulatedEngine> Engines;
  std::vector<SimulatedProcess> Processes;
  std::vector<peers::RunningProcess> All;
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
