#include "StandIns/Placement/FindingNetwork.h"

#include "Messages/Messages.pb.h"

#include <algorithm>

namespace sardineford::standins {

namespace {

constexpr size_t DatagramHeaderBytes = 28;
constexpr Milliseconds ReportInterval{500};
constexpr Milliseconds SmallFleetTurn{60};
constexpr Milliseconds LargeFleetTurn{250};
constexpr Milliseconds CutTime{4'000};

http::Endpoint addressOf(size_t i) {
  return {"10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250),
          7000};
}

} // namespace

FindingNetwork::FindingNetwork(size_t processes, double lossRatio,
                               uint64_t seed)
    : EventQueue(seed), LossRatio(lossRatio), Processes(processes) {
  for (size_t i = 0; i < processes; ++i) {
    All.push_back({"domain", addressOf(i)});
    Processes[i].Plan = peers::planMesh(processes, i);
  }
  for (size_t i = 0; i < processes; ++i) {
    restart(i);
    at(randomTime(ReportInterval), [this, i] {
      report(i);
      endTurn(i);
    });
  }
}

void FindingNetwork::restart(size_t i) {
  Processes[i].Findings = std::make_unique<peers::Findings>(
      Processes[i].Metrics, addressOf(i),
      [this, i](const messages::LoadShare &datagram, const http::Endpoint &to) {
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
  Processes[i].Findings->setProcesses(All, now());
}

void FindingNetwork::send(size_t from, size_t to,
                          const messages::LoadShare &datagram) {
  auto second = std::chrono::duration_cast<std::chrono::seconds>(
      now().time_since_epoch());
  Processes[from].BytesBySecond[second.count()] +=
      static_cast<double>(datagram.ByteSizeLong() + DatagramHeaderBytes);
  if (Processes[from].IsCutOff || happens(LossRatio))
    return;
  at(Milliseconds(1) + randomTime(Milliseconds(3)), [this, from, to, datagram] {
    if (Processes[to].IsCutOff)
      return;
    Processes[to].Findings->handle(datagram, now());
    const std::vector<size_t> &group = Processes[to].Plan.SameGroup;
    bool isInGroup = std::find(group.begin(), group.end(), from) != group.end();
    if (datagram.findings().relayed() || !isInGroup)
      return;
    messages::LoadShare copy = datagram;
    copy.mutable_findings()->set_relayed(true);
    for (size_t it : Processes[to].Plan.OtherGroups)
      send(to, it, copy);
  });
}

void FindingNetwork::report(size_t i) {
  uint32_t digest = Processes[i].Findings->digest();
  auto sendDigest = [&](size_t to) {
    if (Processes[i].IsCutOff || happens(LossRatio))
      return;
    at(Milliseconds(2), [this, i, to, digest] {
      if (!Processes[to].IsCutOff)
        Processes[to].Findings->checkPeer(digest, addressOf(i), now());
    });
  };
  const peers::MeshPlan &plan = Processes[i].Plan;
  std::for_each(plan.SameGroup.begin(), plan.SameGroup.end(), sendDigest);
  std::for_each(plan.OtherGroups.begin(), plan.OtherGroups.end(), sendDigest);
  at(ReportInterval, [this, i] { report(i); });
}

void FindingNetwork::endTurn(size_t i) {
  Processes[i].Findings->endTurn(now());
  at(peers::isGrouped(Processes.size()) ? LargeFleetTurn : SmallFleetTurn,
     [this, i] { endTurn(i); });
}

void FindingNetwork::disturb(double cutOffRatio, double restartRatio,
                             Milliseconds until, Milliseconds stabilityWindow) {
  for (size_t i = 0; i < Processes.size(); ++i) {
    if (happens(cutOffRatio))
      at(randomTime(until), [this, i, stabilityWindow] {
        Processes[i].IsCutOff = true;
        Processes[i].DisturbedUntil = now() + CutTime + stabilityWindow;
        at(CutTime, [this, i] { Processes[i].IsCutOff = false; });
      });
    if (happens(restartRatio))
      at(randomTime(until), [this, i, stabilityWindow] {
        restart(i);
        Processes[i].DisturbedUntil =
            std::max(Processes[i].DisturbedUntil, now() + stabilityWindow);
      });
  }
}

double FindingNetwork::meanBytesPerSecond() const {
  double bytes = 0;
  for (const SimulatedProcess &it : Processes)
    for (const auto &[second, n] : it.BytesBySecond)
      bytes += n;
  return bytes / toSeconds(now().time_since_epoch()) /
         static_cast<double>(Processes.size());
}

double FindingNetwork::mostBytesPerSecond() const {
  double most = 0;
  for (const SimulatedProcess &it : Processes)
    for (const auto &[second, n] : it.BytesBySecond)
      most = std::max(most, n);
  return most;
}

} // namespace sardineford::standins
