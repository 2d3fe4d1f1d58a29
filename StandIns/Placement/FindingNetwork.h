#pragma once

#include "Peers/Findings.h"
#include "Peers/Mesh.h"
#include "Sardineford/Common/Time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <vector>

namespace sardineford::standins {

/// Simulated clock and network of processes that exchange their findings as the
/// daemon does.
class FindingNetwork {
public:
  FindingNetwork(size_t processes, double lossRatio, uint64_t seed);

  /// Calls the function after a time.
  void at(MonoClock::duration delay, std::function<void()> act);
  /// Plays all events until a time.
  void runUntil(MonoTime end);
  MonoTime now() const { return Now; }
  Milliseconds randomTime(Milliseconds most);
  bool happens(double probability);
  std::mt19937_64 &random() { return Random; }

  size_t size() const { return Processes.size(); }
  peers::Findings &findings(size_t i) { return *Processes[i].Findings; }
  /// Cuts shares of the processes off for some seconds, and restarts others, at
  /// any moment until a time. They count as disturbed until a stability window
  /// later.
  void disturb(double cutOffRatio, double restartRatio, Milliseconds until,
               Milliseconds stabilityWindow);
  bool isDisturbed(size_t i) const { return Now < Processes[i].DisturbedUntil; }

  double meanBytesPerSecond() const;
  /// Most bytes of one process in one second.
  double mostBytesPerSecond() const;

private:
  struct Event {
    MonoTime At;
    uint64_t Order = 0;
    std::function<void()> Act;
    bool operator<(const Event &o) const {
      return At != o.At ? At > o.At : Order > o.Order;
    }
  };

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

  std::mt19937_64 Random;
  double LossRatio;
  MonoTime Now{};
  uint64_t NextOrder = 0;
  std::priority_queue<Event> Events;
  std::vector<SimulatedProcess> Processes;
  std::vector<peers::RunningProcess> All;
};

} // namespace sardineford::standins
