#include "StandIns/Placement/RetrySimulation.h"

#include "Peers/PeerSet.h"
#include "Sardineford/Gateway/AttemptRecord.h"
#include "Sardineford/Retry/PrefillRisk.h"
#include "Sardineford/Retry/WindowBudget.h"
#include "StandIns/Placement/EventQueue.h"

#include <algorithm>
#include <deque>
#include <optional>

namespace sardineford::standins {

namespace {

using gateway::AttemptOutcome;

constexpr Milliseconds Window{10'000};
constexpr double AllowedRatio = 0.2;
constexpr int MaxCalls = 6;
constexpr int MaxPrefills = 2;
constexpr Milliseconds ReportInterval{1'000};
constexpr Milliseconds RestartTime{400};
constexpr Milliseconds ListDelay{300};

http::Endpoint addressOf(size_t i) {
  return {"10.0.0.1", static_cast<uint16_t>(i + 1)};
}

class Simulation {
public:
  explicit Simulation(const RetrySimulationOptions &o)
      : Options(o), Events(o.Seed), Processes(o.Processes) {
    for (size_t i = 0; i < o.Processes; ++i)
      start(i);
  }

  RetryOutcome run() {
    arrive();
    report();
    for (const MassDeath &it : Options.Deaths)
      Events.at(it.At, [this, it] { kill(it.Ratio); });
    if (Options.CutOffRatio > 0 || Options.IsHalved)
      Events.at(Options.CutFrom, [this] { cut(); });
    Events.runUntil(MonoTime{} + Options.Length);
    Out.ServedRatio =
        static_cast<double>(Served) / static_cast<double>(std::max(Asked, 1));
    Out.UsedRatio = UsedSum / std::max(1, Windows);
    return Out;
  }

private:
  struct SimulatedProcess {
    bool IsRunning = false;
    /// Processes of other groups are not heard.
    size_t Group = 0;
    std::optional<retry::WindowBudget> Budget;
    std::optional<peers::PeerSet> Peers;
    std::optional<MonoTime> PrefillFailedAt;
    unsigned Starts = 0;
  };

  MonoTime now() const { return Events.now(); }
  Milliseconds time() const { return toMilliseconds(now().time_since_epoch()); }
  bool isRejecting() const {
    return time() >= Options.From && time() < Options.Until;
  }

  void start(size_t i) {
    SimulatedProcess &p = Processes[i];
    p.IsRunning = true;
    p.Budget.emplace(retry::BudgetBounds{AllowedRatio, Options.Slack, Window},
                     now());
    p.Peers.emplace(peers::RunningProcess{"domain", addressOf(i)});
    p.PrefillFailedAt.reset();
    readList(i, ++p.Starts, ListDelay);
  }

  void readList(size_t i, unsigned start, Milliseconds delay) {
    Events.at(delay, [this, i, start] {
      SimulatedProcess &p = Processes[i];
      if (!p.IsRunning || p.Starts != start)
        return;
      if (time() < Options.StoreBackAt) {
        readList(i, start, Milliseconds(500));
        return;
      }
      std::vector<http::Endpoint> all;
      for (size_t j = 0; j < Processes.size(); ++j)
        all.push_back(addressOf(j));
      p.Peers->applyList(all, now());
      p.Budget->setFirstStart(start == 1);
    });
  }

  void report() {
    for (size_t i = 0; i < Processes.size(); ++i)
      for (size_t j = 0; j < Processes.size(); ++j)
        if (i != j && Processes[i].IsRunning && Processes[j].IsRunning &&
            Processes[i].Group == Processes[j].Group)
          Processes[i].Peers->recordReport({"domain", addressOf(j)}, now());
    for (SimulatedProcess &it : Processes)
      if (it.IsRunning)
        it.Peers->selectRecipients(now());
    judgeWindow();
    Events.at(ReportInterval, [this] { report(); });
  }

  void kill(double ratio) {
    for (size_t i = 0; i < Processes.size(); ++i) {
      if (!Events.happens(ratio))
        continue;
      Processes[i].IsRunning = false;
      Events.at(RestartTime, [this, i] { start(i); });
    }
  }

  void cut() {
    for (size_t i = 0; i < Processes.size(); ++i) {
      if (Options.IsHalved)
        Processes[i].Group = i % 2;
      if (Events.happens(Options.CutOffRatio))
        Processes[i].Group = 2 + i;
    }
  }

  void arrive() {
    std::exponential_distribution<> interval(Options.RequestsPerSecond);
    Events.at(fromSeconds(interval(Events.random())), [this] {
      SimulatedProcess &p = Processes[Events.random()() % Processes.size()];
      Requests.push_back(now());
      if (p.IsRunning)
        serve(p);
      arrive();
    });
  }

  bool isRejected() {
    return isRejecting() && Events.happens(Options.RejectionRatio);
  }

  /// Returns whether the next call of the request may be sent.
  bool acquire(SimulatedProcess &p, const gateway::AttemptRecord &r) {
    return r.countedCalls() == 0 || p.Budget->withdraw(now());
  }

  void recordCall(size_t countedBefore, const gateway::AttemptRecord &r) {
    if (countedBefore > 0 && r.countedCalls() > countedBefore)
      FurtherCalls.push_back(now());
  }

  bool prefill(SimulatedProcess &p, gateway::AttemptRecord &r) {
    size_t before = r.countedCalls();
    bool rejected = isRejected();
    r.recordPrefill(rejected ? AttemptOutcome::NotExecuted
                             : AttemptOutcome::Answered);
    recordCall(before, r);
    if (rejected)
      p.PrefillFailedAt = now();
    else if (before > 0)
      p.Budget->refund(now());
    return !rejected;
  }

  bool maySendPrefill(SimulatedProcess &p, const gateway::AttemptRecord &r) {
    retry::PrefillRisk risk;
    risk.IsFirstCall = r.countedCalls() == 0;
    risk.BudgetLeft = p.Budget->remaining(now());
    risk.Window = Window;
    if (p.PrefillFailedAt)
      risk.FailedAgo = toMilliseconds(now() - *p.PrefillFailedAt);
    return retry::mayPrefillSeparately(risk);
  }

  void serve(SimulatedProcess &p) {
    p.Budget->setProcesses(
        static_cast<unsigned>(p.Peers->members().value_or(0)), now());
    p.Budget->recordRequest(now());
    gateway::AttemptRecord r;
    int prefills = 0;
    bool served = false;
    bool wasSent = false;
    for (int i = 0; i < MaxCalls && !served; ++i) {
      bool separate = prefills < MaxPrefills && maySendPrefill(p, r);
      if (!acquire(p, r))
        break;
      wasSent = true;
      if (separate) {
        ++prefills;
        if (!prefill(p, r) || !acquire(p, r))
          continue;
      }
      size_t before = r.countedCalls();
      served = !isRejected();
      r.setOutcome(r.add("server"), served ? AttemptOutcome::Answered
                                           : AttemptOutcome::NotExecuted);
      recordCall(before, r);
    }
    Out.NotSent += wasSent ? 0 : 1;
    if (!isRejecting())
      return;
    ++Asked;
    Served += served ? 1 : 0;
  }

  /// Compares the last window with what is allowed.
  void judgeWindow() {
    auto isOld = [this](MonoTime it) { return now() - it > Window; };
    while (!Requests.empty() && isOld(Requests.front()))
      Requests.pop_front();
    while (!FurtherCalls.empty() && isOld(FurtherCalls.front()))
      FurtherCalls.pop_front();
    double used =
        static_cast<double>(FurtherCalls.size()) /
        (AllowedRatio * static_cast<double>(Requests.size()) + Options.Slack);
    Out.MostOverAllowed = std::max(Out.MostOverAllowed, used);
    if (!isRejecting() || time() < Options.From + Window)
      return;
    UsedSum += used;
    ++Windows;
  }

  RetrySimulationOptions Options;
  EventQueue Events;
  std::vector<SimulatedProcess> Processes;
  std::deque<MonoTime> Requests;
  std::deque<MonoTime> FurtherCalls;
  RetryOutcome Out;
  int Asked = 0;
  int Served = 0;
  double UsedSum = 0;
  int Windows = 0;
};

} // namespace

RetryOutcome simulateRetries(const RetrySimulationOptions &o) {
  return Simulation(o).run();
}

} // namespace sardineford::standins
