#include "StandIns/Placement/OriginSimulation.h"

#include "Messages/Messages.pb.h"
#include "Peers/OriginCodec.h"
#include "Peers/OriginTable.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace sardineford::standins {

using namespace peers;

namespace {

constexpr double HeaderBytes = 28;
/// Time of the deaths.
constexpr MonoTime DeathAt{std::chrono::seconds(1'000)};
constexpr Milliseconds MaxTimeBefore{2'000};
constexpr Milliseconds MaxTimeAfter{1'000};
constexpr Milliseconds RepeatDelay{75};
/// A caller comes back within this time.
constexpr Milliseconds MaxReturnTime{1'000};

/// One stream and the fleet around it.
class StreamTrial {
public:
  StreamTrial(const OriginSimulationOptions &o, std::mt19937_64 &random,
              OriginOutcome &out)
      : O(o), Random(random), Out(out) {
    for (size_t i = 0; i < o.Processes; ++i)
      Fleet.push_back(
          {{"domain-" + std::to_string(i % o.FailureDomains),
            {"10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250),
             static_cast<uint16_t>(4'000 + Random() % 1'000)}},
           MonoTime::min(),
           MonoTime::max()});
    chooseJoining();
    chooseDying();
  }

  void run() {
    Service = Random();
    Stream = Random();
    Version = static_cast<uint32_t>(Random());
    MonoTime beganAt =
        DeathAt - MaxTimeBefore + upTo(MaxTimeBefore + MaxTimeAfter);
    size_t origin = anyRunning(beganAt);
    MonoTime brokeAt = std::min(
        Fleet[origin].DiesAt, std::max(beganAt, DeathAt) + upTo(MaxTimeAfter));
    Fleet[origin].DiesAt = brokeAt;
    sendRecords(origin, beganAt, 0, O.HoldersAtOnce);
    if (beganAt + RepeatDelay < brokeAt)
      sendRecords(origin, beganAt + RepeatDelay, O.HoldersAtOnce,
                  O.HoldersPerStream);
    MonoTime askedAt = brokeAt + upTo(MaxReturnTime);
    std::optional<uint32_t> found = find(anyRunning(askedAt), askedAt);
    ++Out.Streams;
    if (!found)
      return;
    ++Out.Found;
    if (*found != Version)
      ++Out.Wrong;
  }

private:
  struct Process {
    RunningProcess Name;
    MonoTime StartsAt;
    MonoTime DiesAt;

    bool runs(MonoTime t) const { return StartsAt <= t && t < DiesAt; }
  };

  MonoClock::duration upTo(MonoClock::duration t) {
    return fromSeconds(
        std::uniform_real_distribution<>(0, toSeconds(t))(Random));
  }

  bool isLost() {
    return std::uniform_real_distribution<>(0, 1)(Random) < O.LossRatio;
  }

  size_t share(double ratio) const {
    return static_cast<size_t>(
        std::lround(ratio * static_cast<double>(O.Processes)));
  }

  std::vector<size_t> shuffled() {
    std::vector<size_t> out(Fleet.size());
    std::iota(out.begin(), out.end(), size_t{0});
    std::shuffle(out.begin(), out.end(), Random);
    return out;
  }

  void chooseJoining() {
    std::vector<size_t> order = shuffled();
    for (size_t i = 0; i < share(O.JoiningRatio); ++i)
      Fleet[order[i]].StartsAt =
          DeathAt - MaxTimeBefore + upTo(MaxTimeBefore + MaxTimeAfter);
  }

  void chooseDying() {
    if (O.DomainDies) {
      size_t domain = Random() % O.FailureDomains;
      for (size_t i = domain; i < Fleet.size(); i += O.FailureDomains)
        Fleet[i].DiesAt = DeathAt;
      return;
    }
    std::vector<size_t> order = shuffled();
    for (size_t i = 0; i < share(O.DyingRatio); ++i)
      Fleet[order[i]].DiesAt = DeathAt;
  }

  size_t anyRunning(MonoTime t) {
    for (size_t it : shuffled())
      if (Fleet[it].runs(t))
        return it;
    return 0;
  }

  /// Returns the positions of the likely holders, as a process knows the fleet.
  std::vector<size_t> holders(size_t local, MonoTime t) {
    std::vector<RunningProcess> known;
    for (size_t i = 0; i < Fleet.size(); ++i)
      if (i == local || Fleet[i].runs(t - O.ViewAge))
        known.push_back(Fleet[i].Name);
    std::vector<size_t> out;
    for (const http::Endpoint &it :
         chooseHolders(Stream, hashProcesses(known), Fleet[local].Name.Address))
      out.push_back(static_cast<size_t>(
          std::find_if(Fleet.begin(), Fleet.end(),
                       [&](const Process &p) { return p.Name.Address == it; }) -
          Fleet.begin()));
    return out;
  }

  /// Returns whether the datagram arrives.
  bool send(Traffic &traffic, const messages::LoadShare &datagram, size_t to,
            MonoTime t) {
    ++traffic.Datagrams;
    traffic.Bytes += HeaderBytes + static_cast<double>(datagram.ByteSizeLong());
    return !isLost() && Fleet[to].runs(t);
  }

  void sendRecords(size_t origin, MonoTime t, size_t begin, size_t end) {
    std::vector<size_t> to = holders(origin, t);
    OriginRecord record{Stream, Version};
    for (size_t i = begin; i < end && !to.empty(); ++i) {
      // In the smallest fleets, the first holders receive the repetition too.
      size_t holder = to[i % to.size()];
      if (i >= to.size() && begin == 0)
        break;
      if (send(Out.Records, encodeOrigins({&record, 1}), holder, t))
        Tables[holder].putHeld(record, t);
    }
  }

  std::optional<uint32_t> find(size_t local, MonoTime t) {
    if (auto version = Tables[local].find(Stream, t))
      return version;
    std::vector<size_t> to = holders(local, t);
    size_t first = std::min(AskedFirst, to.size());
    std::vector<size_t> silent;
    std::optional<uint32_t> out;
    auto ask = [&](size_t holder) {
      if (!send(Out.Questions, encodeOriginQuery(1'000'000, Service, Stream),
                holder, t)) {
        silent.push_back(holder);
        return;
      }
      auto version = Tables[holder].find(Stream, t);
      if (!send(Out.Questions,
                encodeOriginAnswer(1'000'000, version,
                                   VersionView{1, Milliseconds(400)}),
                local, t))
        silent.push_back(holder);
      else if (version)
        out = version;
    };
    for (size_t i = 0; i < first; ++i)
      ask(to[i]);
    if (out)
      return out;
    std::vector<size_t> again = std::exchange(silent, {});
    again.insert(again.end(), to.begin() + static_cast<ptrdiff_t>(first),
                 to.end());
    for (size_t it : again)
      ask(it);
    return out;
  }

  const OriginSimulationOptions &O;
  std::mt19937_64 &Random;
  OriginOutcome &Out;
  std::vector<Process> Fleet;
  uint64_t Service = 0;
  uint64_t Stream = 0;
  uint32_t Version = 0;
  std::map<size_t, OriginTable> Tables;
};

} // namespace

OriginOutcome simulateOrigins(const OriginSimulationOptions &o) {
  OriginOutcome out;
  std::mt19937_64 random(o.Seed);
  for (unsigned i = 0; i < o.Streams; ++i)
    StreamTrial(o, random, out).run();
  return out;
}

} // namespace sardineford::standins
