#include "StandIns/Placement/RecordSimulation.h"

#include "Peers/Mesh.h"
#include "Sardineford/Fleet/VersionRecord.h"
#include "StandIns/Placement/EventQueue.h"

#include <algorithm>
#include <cmath>

namespace sardineford::standins {

namespace {

constexpr Milliseconds StoreCallTime{4};
constexpr Milliseconds HopTime{5};
constexpr Milliseconds RetryDelay{300};
constexpr std::chrono::seconds PlayedTime{40};

class RecordTrial {
public:
  explicit RecordTrial(const RecordSimulationOptions &o)
      : O(o), Queue(o.Seed), All(o.Processes) {
    auto cut = static_cast<size_t>(
        std::lround(o.CutRatio * static_cast<double>(o.Processes)));
    for (size_t i = 0; i < All.size(); ++i) {
      All[i].IsDead = i < o.DeadFirst;
      All[i].IsCut = !All[i].IsDead && i < o.DeadFirst + cut;
    }
  }

  RecordOutcome run() {
    for (size_t i = 0; i < All.size(); ++i)
      if (!All[i].IsDead)
        Queue.at(Queue.randomTime(O.SpreadTime), [this, i] { findEntry(i); });
    Queue.runUntil(Queue.now() + PlayedTime);
    for (const Process &it : All) {
      if (it.IsDead)
        continue;
      Out.HeldBack.push_back(toMilliseconds(
          std::min(it.KnownAt, it.FoundAt + fleet::MaxRecordDelay) -
          it.FoundAt));
      Out.MostDatagrams = std::max(Out.MostDatagrams, it.Datagrams);
      if (it.FoundAt + fleet::MaxRecordDelay < RecordedAt)
        ++Out.Unrecorded;
    }
    std::sort(Out.HeldBack.begin(), Out.HeldBack.end());
    if (RecordedAt != MonoTime::max())
      Out.RecordedAfter = toMilliseconds(RecordedAt - MonoTime{});
    return Out;
  }

private:
  struct Process {
    bool IsDead = false;
    bool IsCut = false;
    MonoTime FoundAt = MonoTime::max();
    /// Time at which the process learns that the version is recorded.
    MonoTime KnownAt = MonoTime::max();
    size_t Datagrams = 0;
  };

  bool isKnown(size_t i) const { return All[i].KnownAt <= Queue.now(); }

  void findEntry(size_t i) {
    All[i].FoundAt = Queue.now();
    Queue.at(
        fleet::changeDelay(fleet::RecordChange::Add, static_cast<unsigned>(i)),
        [this, i] { act(i); });
  }

  void act(size_t i) {
    if (isKnown(i))
      return;
    if (All[i].IsCut) {
      Queue.at(RetryDelay, [this, i] { act(i); });
      return;
    }
    if (i == 0) {
      write(i);
      return;
    }
    ++Out.Reads;
    Queue.at(StoreCallTime, [this, i] {
      if (RecordedAt <= Queue.now())
        learn(i);
      else
        write(i);
    });
  }

  void write(size_t i) {
    ++Out.Writes;
    Queue.at(StoreCallTime, [this, i] {
      RecordedAt = std::min(RecordedAt, Queue.now());
      learn(i);
      if (Queue.now() - MonoTime{} >= O.StartTime)
        sendToAll(i);
    });
  }

  void learn(size_t i) {
    All[i].KnownAt = std::min(All[i].KnownAt, Queue.now());
  }

  void send(size_t from, size_t to, bool isFirstHop) {
    ++All[from].Datagrams;
    if (All[to].IsDead || Queue.happens(O.LossRatio))
      return;
    Queue.at(Queue.randomTime(HopTime), [this, to, isFirstHop] {
      learn(to);
      if (isFirstHop)
        for (size_t it : peers::planMesh(All.size(), to).OtherGroups)
          send(to, it, false);
    });
  }

  void sendToAll(size_t i) {
    peers::MeshPlan plan = peers::planMesh(All.size(), i);
    for (size_t it : plan.SameGroup)
      send(i, it, true);
    for (size_t it : plan.OtherGroups)
      send(i, it, false);
  }

  const RecordSimulationOptions &O;
  EventQueue Queue;
  std::vector<Process> All;
  MonoTime RecordedAt = MonoTime::max();
  RecordOutcome Out;
};

} // namespace

RecordOutcome simulateRecord(const RecordSimulationOptions &o) {
  return RecordTrial(o).run();
}

} // namespace sardineford::standins
