#pragma once

#include "Peers/Findings.h"
#include "Peers/Mesh.h"
#include "StandIns/Placement/EventQueue.h"

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace sardineford::standins {

/// Simulated network of processes that exchange their findings as the daemon
/// does.
class FindingNetwork : public EventQueue {
public:
  FindingNetwork(size_t processes, double lossRatio, uint64_t seed);

  size_t size() const { return Processes.size(); }
  peers::Findings &findings(size_t i) { return *Processes[i].Findings; }
  /// Cuts shares of the processes off for some seconds, and restarts others, at
  /// any moment until a time. They count as disturbed until a stability window
  /// later.
  void disturb(double cutOffRatio, double restartRatio, Milliseconds until,
               Milliseconds stabilityWindow);
  bool isDisturbed(size_t i) const {
    return now() < Processes[i].DisturbedUntil;
  }

  double meanBytesPerSecond() const;
  /// Most bytes of one process in one second.
  double mostBytesPerSecond() const;

private:
  struct SimulatedProcess {
    metrics::Metrics Metrics;
    std::unique_ptr<peers::Findings> Findings;
    bool IsCutOff = false;
    MonoTime DisturbedUntil{};
    peers::MeshPlan Plan;
    std::map<int64_t, double> BytesBySecond;
  };

  void restart(size_t i);
  void send(size_t from, size_t to, const messages::LoadShare &datagram);
  /// Only the digest of a report is played; its bytes are not those of
  /// findings.
  void report(size_t i);
  void endTurn(size_t i);

  double LossRatio;
  std::vector<SimulatedProcess> Processes;
  std::vector<peers::RunningProcess> All;
};

} // namespace sardineford::standins
