#include "StandIns/Placement/HandoverSimulation.h"

#include "Messages/Messages.pb.h"
#include "Peers/HandoverLimits.h"
#include "Peers/OriginCodec.h"
#include "Peers/OriginHandover.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <numeric>
#include <random>
#include <string>
#include <vector>

namespace sardineford::standins {

using namespace peers;

namespace {

constexpr double HeaderBytes = 28;
constexpr MonoTime FirstWave{std::chrono::seconds(1'000)};
constexpr Milliseconds RecordAge{30'000};
/// Callers come back this long after the second wave.
constexpr Milliseconds ReturnTime{500};

class Waves {
public:
  explicit Waves(const HandoverSimulationOptions &o) : O(o), Random(o.Seed) {
    std::vector<RunningProcess> names;
    for (size_t i = 0; i < o.Processes; ++i)
      names.push_back(
          {"domain-" + std::to_string(i % o.FailureDomains),
           {"10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250),
            4'000}});
    Names = hashProcesses(names);
    Fleet.resize(o.Processes);
  }

  HandoverOutcome run() {
    beginStreams();
    kill(FirstWave);
    for (const Stream &it : Streams)
      Out.Lost += Fleet[it.Process].wasKilled() && !isKnown(it) ? 1 : 0;
    MonoTime secondWave = FirstWave + O.WaveInterval;
    for (MonoTime t = FirstWave; t < secondWave; t += HandoverInterval)
      takeTurns(t);
    kill(secondWave);
    for (MonoTime t = secondWave; t < secondWave + ReturnTime;
         t += HandoverInterval)
      takeTurns(t);
    for (const Stream &it : Streams)
      if (Fleet[it.Process].wasKilled()) {
        ++Out.Streams;
        Out.Found += isFound(it, secondWave + ReturnTime) ? 1 : 0;
      }
    for (const Process &it : Fleet) {
      Out.MeanDatagrams += it.Datagrams / double(O.Processes);
      Out.MeanBytes += it.Bytes / double(O.Processes);
    }
    return Out;
  }

private:
  struct Stream {
    OriginRecord Record;
    size_t Process = 0;
  };
  struct Process {
    OriginTable Table;
    HandoverQueue Queue;
    std::deque<size_t> ToAsk;
    std::deque<size_t> JoinedPeers;
    MonoTime StartsAt{};
    std::deque<std::pair<MonoTime, double>> Sent;
    double BytesInSecond = 0;
    double Datagrams = 0;
    double Bytes = 0;

    bool runs(MonoTime t) const { return StartsAt <= t; }
    bool wasKilled() const { return StartsAt != MonoTime{}; }
  };

  bool isLost() {
    return std::uniform_real_distribution<>(0, 1)(Random) < O.LossRatio;
  }

  std::vector<size_t> ranked(uint64_t stream, const http::Endpoint &without) {
    std::vector<size_t> out;
    for (const http::Endpoint &it : chooseHolders(stream, Names, without))
      out.push_back(indexOf(it));
    return out;
  }

  size_t indexOf(const http::Endpoint &endpoint) const {
    return static_cast<size_t>(std::find_if(Names.begin(), Names.end(),
                                            [&](const HashedProcess &it) {
                                              return it.Process.Address ==
                                                     endpoint;
                                            }) -
                               Names.begin());
  }

  void beginStreams() {
    auto n = static_cast<size_t>(O.StreamsPerSecond * toSeconds(O.StreamTime));
    for (size_t i = 0; i < n; ++i) {
      MonoTime t = FirstWave - O.StreamTime +
                   fromSeconds(toSeconds(O.StreamTime) * double(i) / double(n));
      Stream stream{{Random(), static_cast<uint32_t>(Random())},
                    Random() % O.Processes};
      std::vector<size_t> to =
          ranked(stream.Record.Stream, Names[stream.Process].Process.Address);
      for (size_t h = 0; h < std::min(HoldersPerStream, to.size()); ++h)
        if (!isLost())
          Fleet[to[h]].Table.putHeld(stream.Record, t);
      Fleet[stream.Process].Table.putHeld(stream.Record, t);
      Streams.push_back(stream);
    }
  }

  void kill(MonoTime t) {
    std::vector<size_t> order(O.Processes);
    std::iota(order.begin(), order.end(), size_t{0});
    std::shuffle(order.begin(), order.end(), Random);
    order.resize(
        static_cast<size_t>(std::lround(O.DyingRatio * double(O.Processes))));
    for (size_t it : order) {
      Process process;
      process.Datagrams = Fleet[it].Datagrams;
      process.Bytes = Fleet[it].Bytes;
      double part = std::uniform_real_distribution<>(0.5, 1)(Random);
      process.StartsAt = t + fromSeconds(toSeconds(O.RestartTime) * part);
      for (size_t i = 0; i < O.Processes; ++i)
        if (i != it)
          process.ToAsk.push_back(i);
      std::shuffle(process.ToAsk.begin(), process.ToAsk.end(), Random);
      Fleet[it] = std::move(process);
    }
  }

  bool isKnown(const Stream &stream) const {
    return std::any_of(Fleet.begin(), Fleet.end(), [&](const Process &it) {
      return it.Table.find(stream.Record.Stream, FirstWave).has_value();
    });
  }

  bool isFound(const Stream &stream, MonoTime t) {
    for (size_t it : ranked(stream.Record.Stream, {}))
      if (Fleet[it].runs(t) && Fleet[it].Table.find(stream.Record.Stream, t))
        return true;
    return false;
  }

  void takeTurns(MonoTime t) {
    if (!O.HandsOver)
      return;
    for (size_t i = 0; i < O.Processes; ++i)
      if (Fleet[i].runs(t))
        takeTurn(i, t);
  }

  void takeTurn(size_t i, MonoTime t) {
    Process &process = Fleet[i];
    std::vector<KnownOrigin> recent;
    if (!process.JoinedPeers.empty())
      recent = process.Table.recentRecords(RecordAge, t);
    for (size_t n = 0; n < JoinedAtOnce && !process.JoinedPeers.empty(); ++n) {
      const HashedProcess &joined = Names[process.JoinedPeers.front()];
      process.JoinedPeers.pop_front();
      for (const KnownOrigin &it : chooseRecordsFor(joined, recent, Names))
        process.Queue.push(joined.Process.Address, it);
    }
    for (size_t n = 0; n < HandoversAtOnce && process.Queue.maySend(t); ++n) {
      if (!process.ToAsk.empty()) {
        size_t to = process.ToAsk.front();
        process.ToAsk.pop_front();
        if (send(process, encodeRecordsRequest("domain-00"), to, t))
          Fleet[to].JoinedPeers.push_back(i);
      } else if (!process.Queue.empty()) {
        auto [to, records] = process.Queue.take(RecordsPerHandover);
        messages::LoadShare datagram = encodeHandover(records, t);
        size_t receiver = indexOf(to);
        if (send(process, datagram, receiver, t))
          for (const KnownOrigin &it : decodeHandover(datagram, t))
            Fleet[receiver].Table.putHandedOver(it, t);
      }
    }
  }

  /// Returns whether the datagram arrives.
  bool send(Process &from, const messages::LoadShare &datagram, size_t to,
            MonoTime t) {
    double bytes = HeaderBytes + double(datagram.ByteSizeLong());
    from.Queue.countSent(static_cast<size_t>(bytes));
    ++from.Datagrams;
    from.Bytes += bytes;
    from.BytesInSecond += bytes;
    from.Sent.emplace_back(t, bytes);
    while (t - from.Sent.front().first >= std::chrono::seconds(1)) {
      from.BytesInSecond -= from.Sent.front().second;
      from.Sent.pop_front();
    }
    Out.MaxBytesPerSecond = std::max(Out.MaxBytesPerSecond, from.BytesInSecond);
    return !isLost() && Fleet[to].runs(t);
  }

  const HandoverSimulationOptions &O;
  std::mt19937_64 Random;
  HandoverOutcome Out;
  std::vector<HashedProcess> Names;
  std::vector<Process> Fleet;
  std::vector<Stream> Streams;
};

} // namespace

HandoverOutcome simulateHandovers(const HandoverSimulationOptions &o) {
  return Waves(o).run();
}

} // namespace sardineford::standins
