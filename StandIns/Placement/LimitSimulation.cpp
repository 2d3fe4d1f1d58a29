#include "StandIns/Placement/LimitSimulation.h"

#include "StandIns/Placement/FindingNetwork.h"

#include <algorithm>
#include <deque>

namespace sardineford::standins {

namespace {

constexpr double LossRatio = 0.03;
constexpr Milliseconds CountedTime{4'000};
constexpr double AllowedRatio = 1.5;
constexpr double AllowedExtra = 5;
constexpr Milliseconds ResponseTime{40};
constexpr uint32_t LimitedServer = 7;

class Simulation {
public:
  explicit Simulation(const LimitSimulationOptions &o)
      : Options(o), Net(o.Processes, LossRatio, o.Seed) {}

  LimitOutcome run() {
    arrive();
    Net.disturb(Options.CutOffRatio, Options.RestartRatio, Options.Until,
                Options.StabilityWindow);
    Net.runUntil(MonoTime{} + Options.Length);
    Out.MeanBytesPerSecond = Net.meanBytesPerSecond();
    Out.LimitedPerSecond /=
        toSeconds(Options.Until - Options.From - Options.StabilityWindow);
    Out.LaterPerSecond /=
        toSeconds(Options.Length - Options.Until - Options.StabilityWindow);
    return Out;
  }

private:
  Milliseconds time() const {
    return toMilliseconds(Net.now().time_since_epoch());
  }

  Milliseconds changeTime() const { return (Options.From + Options.Until) / 2; }

  std::optional<double> namedLimit() const {
    if (time() < Options.From || time() >= Options.Until)
      return std::nullopt;
    return time() < changeTime() ? Options.Limit : Options.LaterLimit;
  }

  void arrive() {
    Net.at(fromSeconds(std::exponential_distribution<>(
               Options.RequestsPerSecond)(Net.random())),
           [this] {
             serve(Net.random()() % Net.size());
             arrive();
           });
  }

  /// Sends a request of a process to one of the servers. A server with a limit
  /// has the least load, so that it is chosen whenever it may be.
  void serve(size_t process) {
    peers::Findings &findings = Net.findings(process);
    bool isChosen =
        findings.limitedServers() > 0 || Net.random()() % Options.Servers == 0;
    if (!isChosen || !findings.maySend(LimitedServer, Net.now()))
      return;
    findings.recordRequest(LimitedServer, Net.now());
    count(process);
    Net.at(ResponseTime,
           [this, process, sentAt = Net.now(), limit = namedLimit()] {
             Net.findings(process).recordLimit(LimitedServer, "server", limit,
                                               sentAt, Net.now());
           });
  }

  void count(size_t process) {
    if (time() >= Options.Until + Options.StabilityWindow)
      ++Out.LaterPerSecond;
    bool isBound = time() >= Options.From + Options.StabilityWindow &&
                   time() < Options.Until && !Net.isDisturbed(process);
    if (!isBound)
      return;
    ++Out.LimitedPerSecond;
    Arrivals.push_back(Net.now());
    while (Net.now() - Arrivals.front() > CountedTime)
      Arrivals.pop_front();
    double limit = time() < changeTime() + Options.StabilityWindow
                       ? std::max(Options.Limit, *namedLimit())
                       : Options.LaterLimit;
    double allowed =
        AllowedRatio * limit * toSeconds(CountedTime) + AllowedExtra;
    Out.MostOverAllowed = std::max(
        Out.MostOverAllowed, static_cast<double>(Arrivals.size()) / allowed);
  }

  LimitSimulationOptions Options;
  FindingNetwork Net;
  std::deque<MonoTime> Arrivals;
  LimitOutcome Out;
};

} // namespace

LimitOutcome simulateLimit(const LimitSimulationOptions &o) {
  return Simulation(o).run();
}

} // namespace sardineford::standins
