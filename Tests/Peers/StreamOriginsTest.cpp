#include "Peers/StreamOrigins.h"

#include "Messages/Messages.pb.h"
#include "Peers/OriginCodec.h"

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>

using namespace sardineford;
using namespace sardineford::peers;

namespace asio = boost::asio;

namespace {

constexpr MonoTime Start{std::chrono::seconds(10'000)};
/// Records are repeated within this time.
constexpr Milliseconds RepeatLimit{150};
/// Records are given to new holders within this time: less than lies between
/// two waves of deaths, in which the deaths must be noticed, too.
constexpr Milliseconds HandoverLimit{600};
/// Processes have asked all others for records within this time.
constexpr Milliseconds StartLimit{200};
/// Headers of IP and UDP.
constexpr size_t HeaderBytes = 28;

std::vector<RunningProcess> makeProcesses(size_t n, size_t domains) {
  std::vector<RunningProcess> out;
  for (size_t i = 0; i < n; ++i)
    out.push_back({"domain-" + std::to_string(i % domains),
                   {"10.0.0.1", static_cast<uint16_t>(1'000 + i)}});
  return out;
}

const VersionView SeveralVersions{.Age = Milliseconds(0)};

VersionView onlyVersion(const std::string &version,
                        Milliseconds age = Milliseconds(0)) {
  return {.OnlyVersion = hashOfVersion(version), .Age = age};
}

bool knowsSeveral(const FoundOrigin &found) {
  return std::any_of(found.PeerViews.begin(), found.PeerViews.end(),
                     [](const VersionView &it) { return !it.OnlyVersion; });
}

/// Processes that exchange datagrams without a network.
struct Network {
  struct Datagram {
    http::Endpoint From;
    http::Endpoint To;
    messages::LoadShare Message;

    bool isRecord() const {
      const messages::StreamOrigins &origins = Message.origins();
      return origins.query() == 0 && origins.answer() == 0 &&
             !origins.wants_records() && !isHandover();
    }
    bool isHandover() const { return Message.origins().ages_s_size() > 0; }
    size_t bytes() const { return Message.ByteSizeLong() + HeaderBytes; }
  };

  explicit Network(size_t n) : Processes(makeProcesses(n, 3)) {
    for (const RunningProcess &it : Processes)
      Origins.push_back(start(it.Address));
    // Each asks all others for records.
    while (Sent.size() < n * (n - 1)) {
      Io.restart();
      Io.run_one_for(StartLimit);
    }
    Io.restart();
    Io.poll();
    Io.restart();
    Sent.clear();
  }

  std::unique_ptr<StreamOrigins> start(const http::Endpoint &from) {
    auto send = [this, from](const messages::LoadShare &message,
                             const http::Endpoint &to) {
      deliver({from, to, message});
    };
    auto out = std::make_unique<StreamOrigins>(Io, Metrics, from, send);
    out->setProcesses(Processes);
    return out;
  }

  /// Starts a process again under its address, without what it knew.
  void restart(size_t i) {
    Origins[i].reset();
    Origins[i] = start(Processes[i].Address);
  }

  /// Ends processes. The others have noticed it.
  void kill(const std::set<size_t> &processes) {
    Dead.insert(processes.begin(), processes.end());
    std::vector<RunningProcess> running;
    for (size_t i = 0; i < Processes.size(); ++i)
      if (!Dead.contains(i))
        running.push_back(Processes[i]);
    for (size_t i = 0; i < Processes.size(); ++i)
      if (!Dead.contains(i))
        Origins[i]->setProcesses(running);
  }

  void deliver(Datagram datagram) {
    Sent.push_back(datagram);
    if (IsLost && IsLost(datagram))
      return;
    std::string bytes = datagram.Message.SerializeAsString();
    asio::post(Io, [this, datagram, bytes] {
      messages::LoadShare in;
      REQUIRE(in.ParseFromString(bytes));
      for (size_t i = 0; i < Processes.size(); ++i)
        if (Processes[i].Address == datagram.To && !Dead.contains(i))
          CHECK(Origins[i]->handle(in, datagram.From));
    });
  }

  void runFor(Milliseconds t) {
    Io.restart();
    Io.run_for(t);
  }

  FoundOrigin find(size_t i, std::string streamId) {
    std::optional<FoundOrigin> out;
    std::string service = "model";
    spawn(Io, "find", [&]() -> Awaitable<void> {
      out = co_await Origins[i]->find(service, streamId);
    });
    while (!out) {
      Io.restart();
      Io.run_one_for(Milliseconds(20));
    }
    return *out;
  }

  size_t records() const {
    return static_cast<size_t>(
        std::count_if(Sent.begin(), Sent.end(),
                      [](const Datagram &it) { return it.isRecord(); }));
  }

  /// Returns the process that received the record with this number.
  size_t receiver(size_t record) const {
    auto it = std::find_if(Processes.begin(), Processes.end(),
                           [&](const RunningProcess &process) {
                             return process.Address == Sent.at(record).To;
                           });
    return static_cast<size_t>(it - Processes.begin());
  }

  IoContext Io{1};
  metrics::Metrics Metrics;
  std::vector<RunningProcess> Processes;
  std::vector<std::unique_ptr<StreamOrigins>> Origins;
  std::function<bool(const Datagram &)> IsLost;
  std::set<size_t> Dead;
  std::vector<Datagram> Sent;
};

std::vector<http::Endpoint> holdersOf(uint64_t stream,
                                      const std::vector<RunningProcess> &all,
                                      const RunningProcess &local) {
  return chooseHolders(stream, hashProcesses(all), local.Address);
}

} // namespace

TEST_CASE("the record of a stream is kept for its time") {
  OriginTable table;
  table.putLocal({1, 7}, 5, Start);
  table.putHeld({2, 8}, Start + std::chrono::seconds(10));
  CHECK(table.find(1, Start + OriginAge) == 7U);
  CHECK(!table.find(1, Start + OriginAge + Milliseconds(1)));
  CHECK(table.find(2, Start + OriginAge + Milliseconds(1)) == 8U);
  table.putHeld({3, 9}, Start + OriginAge + Milliseconds(1));
  CHECK(table.size() == 2);
}

TEST_CASE("a renewed record of a stream is kept from then on") {
  OriginTable table;
  table.putHeld({1, 7}, Start);
  table.putHeld({1, 7}, Start + OriginAge);
  table.putHeld({2, 8}, Start + OriginAge + std::chrono::seconds(1));
  CHECK(table.find(1, Start + OriginAge + std::chrono::seconds(1)) == 7U);
}

TEST_CASE("the oldest records of streams are dropped at the bound") {
  OriginTable table(100);
  for (uint32_t i = 0; i < 250; ++i)
    table.putHeld({i, i}, Start + Milliseconds(i));
  CHECK(table.size() == 100);
  MonoTime now = Start + Milliseconds(250);
  CHECK(!table.find(149, now));
  CHECK(table.find(150, now) == 150U);
  CHECK(table.find(249, now) == 249U);
}

TEST_CASE("records of one stream that is renewed all the time are bounded") {
  OriginTable table(100);
  table.putHeld({1, 1}, Start);
  for (uint32_t i = 0; i < 1'000; ++i)
    table.putHeld({2, 2}, Start + Milliseconds(i));
  CHECK(table.size() == 1);
  CHECK(table.find(2, Start + std::chrono::seconds(1)) == 2U);
}

TEST_CASE("only streams of this process that were not sent are published") {
  OriginTable table;
  table.putLocal({1, 7}, 5, Start);
  table.putLocal({2, 7}, 5, Start);
  table.putLocal({3, 7}, 6, Start);
  table.putHeld({4, 7}, Start);
  table.setSent(2);
  table.putHeld({1, 7}, Start + std::chrono::seconds(1));
  CHECK(table.takeUnsent(5, Start + std::chrono::seconds(1)) ==
        std::vector<uint64_t>{1});
  CHECK(table.takeUnsent(5, Start + std::chrono::seconds(1)).empty());
}

TEST_CASE("streams of two services with the same id are different") {
  CHECK(hashOfStream("a", "stream") != hashOfStream("b", "stream"));
  CHECK(hashOfStream("a", "stream") == hashOfStream("a", "stream"));
}

TEST_CASE("the holders of a stream lie in different failure domains") {
  std::vector<RunningProcess> all = makeProcesses(60, 5);
  std::map<http::Endpoint, std::string> domains;
  for (const RunningProcess &it : all)
    domains[it.Address] = it.FailureDomain;
  size_t distinct = 0;
  constexpr size_t N = 1'000;
  for (uint64_t stream = 0; stream < N; ++stream) {
    std::vector<http::Endpoint> holders = holdersOf(stream, all, all[3]);
    REQUIRE(holders.size() == MaxHolderCandidates);
    CHECK(std::set(holders.begin(), holders.end()).size() == holders.size());
    CHECK(std::count(holders.begin(), holders.end(), all[3].Address) == 0);
    std::set<std::string> of;
    for (size_t i = 0; i < HoldersPerStream; ++i)
      of.insert(domains[holders[i]]);
    distinct += of.size() == HoldersPerStream ? 1 : 0;
  }
  CHECK(distinct > N * 95 / 100);
}

TEST_CASE("a process that asks knows the holders that the sender chose") {
  std::vector<RunningProcess> all = makeProcesses(60, 5);
  std::vector<RunningProcess> reversed(all.rbegin(), all.rend());
  for (uint64_t stream = 0; stream < 500; ++stream) {
    std::vector<http::Endpoint> holders = holdersOf(stream, all, all[3]);
    CHECK(holdersOf(stream, reversed, all[3]) == holders);
    // The one that asks knows the sender and not itself.
    std::vector<http::Endpoint> asked = holdersOf(stream, all, all[8]);
    for (size_t i = 0; i < HoldersPerStream; ++i)
      CHECK((holders[i] == all[8].Address ||
             std::count(asked.begin(), asked.end(), holders[i]) == 1));
  }
}

TEST_CASE("the only process of a failure domain holds few of the records") {
  std::vector<RunningProcess> all = makeProcesses(200, 1);
  all.push_back({"small", {"10.0.0.2", 1}});
  constexpr size_t N = 5'000;
  size_t held = 0;
  for (uint64_t stream = 0; stream < N; ++stream) {
    std::vector<http::Endpoint> holders = holdersOf(stream, all, all[0]);
    auto end = holders.begin() + HoldersPerStream;
    held += static_cast<size_t>(
        std::count(holders.begin(), end, all.back().Address));
  }
  // The others hold 75 on average.
  CHECK(held < 4 * N * HoldersPerStream / all.size());
}

TEST_CASE("a version is found by the processes that do not hold it") {
  for (size_t n : {2, 6, 40}) {
    INFO(n << " processes");
    Network f(n);
    f.Origins[0]->record("model", "stream", "v1", true);
    f.runFor(RepeatLimit);
    f.Dead = {0};
    for (size_t i = 1; i < n; ++i)
      CHECK(f.find(i, "stream").Version == hashOfVersion("v1"));
  }
}

TEST_CASE("a version is found by the process that began the stream") {
  Network f(6);
  f.Origins[0]->record("model", "stream", "v1", false);
  f.runFor(RepeatLimit);
  CHECK(f.find(0, "stream").Version == hashOfVersion("v1"));
  CHECK(f.Sent.empty());
}

TEST_CASE("an unknown stream is told from processes that do not answer") {
  Network f(6);
  FoundOrigin out = f.find(0, "stream");
  CHECK(!out.Version);
  CHECK(out.NotKnown == 5);
  CHECK(out.Silent == 0);
  f.Dead = {3, 4};
  out = f.find(0, "stream");
  CHECK(!out.Version);
  CHECK(out.NotKnown == 3);
  CHECK(out.Silent == 2);
}

TEST_CASE("a process without peers finds nothing at once") {
  Network f(1);
  f.Origins[0]->record("model", "other", "v1", true);
  f.runFor(RepeatLimit);
  FoundOrigin out = f.find(0, "stream");
  CHECK(!out.Version);
  CHECK(f.Sent.empty());
}

TEST_CASE("records go out in the turn in which they are made") {
  Network f(40);
  f.Origins[0]->record("model", "stream", "v1", true);
  f.Io.restart();
  f.Io.poll();
  CHECK(f.records() == HoldersAtOnce);
}

TEST_CASE("records of one turn are sent together to a holder") {
  Network f(2);
  for (int i = 0; i < 10; ++i)
    f.Origins[0]->record("model", "stream-" + std::to_string(i), "v1", true);
  f.Io.poll();
  REQUIRE(f.records() == 1);
  CHECK(f.Sent[0].Message.origins().streams_size() == 10);
}

TEST_CASE("the record of a running stream is repeated to another holder") {
  Network f(40);
  f.IsLost = [&](const Network::Datagram &) {
    return f.records() <= HoldersAtOnce;
  };
  f.Origins[0]->record("model", "stream", "v1", true);
  f.runFor(RepeatLimit);
  REQUIRE(f.records() == HoldersPerStream);
  CHECK(std::set{f.receiver(0), f.receiver(1), f.receiver(2)}.size() == 3);
  f.Dead = {0};
  for (size_t i = 1; i < 40; ++i)
    CHECK(f.find(i, "stream").Version == hashOfVersion("v1"));
}

TEST_CASE("the record is repeated to the only other process") {
  Network f(2);
  f.IsLost = [&](const Network::Datagram &) { return f.records() <= 1; };
  f.Origins[0]->record("model", "stream", "v1", true);
  f.runFor(RepeatLimit);
  f.Dead = {0};
  CHECK(f.find(1, "stream").Version == hashOfVersion("v1"));
}

TEST_CASE("the record of a stream that has ended is not repeated") {
  Network f(40);
  f.Origins[0]->record("model", "stream", "v1", true);
  f.Io.poll();
  f.Origins[0]->forget("model", "stream");
  f.runFor(RepeatLimit);
  CHECK(f.records() == HoldersAtOnce);
}

TEST_CASE("a stream that has ended is not published") {
  Network f(6);
  f.Origins[0]->record("model", "ended", "v1", false);
  f.Origins[0]->record("model", "running", "v1", false);
  f.Origins[0]->record("other", "running", "v1", false);
  f.Origins[0]->forget("model", "ended");
  f.Origins[0]->publishAll("model");
  f.runFor(RepeatLimit);
  CHECK(f.records() == HoldersPerStream);
  f.Dead = {0};
  CHECK(f.find(1, "running").Version == hashOfVersion("v1"));
  CHECK(!f.find(1, "ended").Version);
}

TEST_CASE("many streams are published in few datagrams to a holder") {
  Network f(2);
  constexpr size_t N = 300;
  for (size_t i = 0; i < N; ++i)
    f.Origins[0]->record("model", std::to_string(i), "v1", false);
  f.Origins[0]->publishAll("model");
  f.runFor(RepeatLimit * 4);
  // Each is sent twice.
  CHECK(f.records() <= 2 * (N / 32 + 1));
  f.Dead = {0};
  for (size_t i = 0; i < N; ++i)
    CHECK(f.find(1, std::to_string(i)).Version == hashOfVersion("v1"));
}

TEST_CASE("a lost question for a version is asked again") {
  Network f(2);
  f.Origins[0]->record("model", "stream", "v1", true);
  f.runFor(RepeatLimit);
  f.Sent.clear();
  // Process 1 has it; a third one that has just joined asks.
  f.Processes.push_back({"domain-2", {"10.0.0.3", 1}});
  http::Endpoint from = f.Processes.back().Address;
  f.Origins.push_back(std::make_unique<StreamOrigins>(
      f.Io, f.Metrics, from,
      [&f, from](const messages::LoadShare &message, const http::Endpoint &to) {
        f.deliver({from, to, message});
      }));
  f.Origins.back()->setProcesses(f.Processes);
  f.Dead = {0};
  f.IsLost = [&](const Network::Datagram &) { return f.Sent.size() <= 2; };
  CHECK(f.find(2, "stream").Version == hashOfVersion("v1"));
}

TEST_CASE("answers to other questions and from other processes are ignored") {
  Network f(3);
  f.Dead = {1, 2};
  f.IsLost = [&](const Network::Datagram &it) {
    uint64_t id = it.Message.origins().query();
    f.Origins[0]->handle(encodeOriginAnswer(id + 1, 5, SeveralVersions), it.To);
    f.Origins[0]->handle(encodeOriginAnswer(id, 5, SeveralVersions),
                         {"10.0.0.9", 1});
    return true;
  };
  CHECK(!f.find(0, "stream").Version);
}

TEST_CASE("a process that knows one version learns of others from its peers") {
  Network f(6);
  for (size_t i = 0; i < 6; ++i)
    f.Origins[i]->setViewSource([i](uint64_t service) {
      return std::optional(i != 0 && service == hashOfService("model")
                               ? SeveralVersions
                               : onlyVersion("v1"));
    });
  FoundOrigin out = f.find(0, "stream");
  CHECK(!out.Version);
  CHECK(out.PeerViews.size() == 5);
  CHECK(knowsSeveral(out));
  f.Dead = {1, 2, 3, 4};
  out = f.find(0, "stream");
  CHECK(out.PeerViews.size() == 1);
  CHECK(knowsSeveral(out));
}

TEST_CASE("one version is the only one if all peers know no other") {
  Network f(6);
  for (auto &it : f.Origins)
    it->setViewSource(
        [](uint64_t) { return std::optional(onlyVersion("v1")); });
  FoundOrigin out = f.find(0, "stream");
  CHECK(out.PeerViews.size() == AskedFirst);
  CHECK(!knowsSeveral(out));
}

TEST_CASE("several versions of another service are no reason to doubt") {
  Network f(6);
  for (auto &it : f.Origins)
    it->setViewSource([](uint64_t service) {
      return std::optional(service == hashOfService("other")
                               ? SeveralVersions
                               : onlyVersion("v1"));
    });
  FoundOrigin out = f.find(0, "stream");
  CHECK(out.PeerViews.size() == AskedFirst);
  CHECK(!knowsSeveral(out));
}

TEST_CASE("peers that cannot tell the versions are not counted as told") {
  Network f(4);
  // Process 1 is an earlier build or has set no source.
  f.Origins[2]->setViewSource(
      [](uint64_t) { return std::optional<VersionView>(); });
  f.Origins[3]->setViewSource(
      [](uint64_t) { return std::optional(SeveralVersions); });
  FoundOrigin out = f.find(0, "stream");
  CHECK(out.NotKnown == 3);
  CHECK(out.PeerViews.size() == 1);
  CHECK(knowsSeveral(out));
}

TEST_CASE("a question of an earlier build names no service") {
  Network f(2);
  f.Origins[0]->setViewSource(
      [](uint64_t) { return std::optional(SeveralVersions); });
  messages::LoadShare in;
  in.mutable_relay();
  in.mutable_origins()->set_query(7);
  in.mutable_origins()->add_streams(1);
  CHECK(f.Origins[0]->handle(in, f.Processes[1].Address));
  REQUIRE(f.Sent.size() == 1);
  CHECK(!f.Sent[0].Message.origins().has_has_several_versions());
}

TEST_CASE("a question and its answer name service and versions") {
  messages::LoadShare query = encodeOriginQuery(3, 4, 5);
  CHECK(query.origins().query() == 3);
  CHECK(query.origins().service() == 4);
  REQUIRE(query.origins().streams_size() == 1);
  CHECK(query.origins().streams(0) == 5);
  messages::LoadShare answer = encodeOriginAnswer(3, 6, SeveralVersions);
  CHECK(answer.origins().versions(0) == 6);
  CHECK(answer.origins().has_several_versions());
  answer = encodeOriginAnswer(3, std::nullopt, std::nullopt);
  CHECK(answer.origins().versions_size() == 0);
  CHECK(!answer.origins().has_has_several_versions());
  CHECK(!decodeVersionView(answer));
}

TEST_CASE("an answer names the only version that its sender knows and the age "
          "of its view") {
  messages::LoadShare answer = encodeOriginAnswer(
      3, std::nullopt, onlyVersion("v1", Milliseconds(5'200)));
  CHECK(answer.origins().has_has_several_versions());
  CHECK(!answer.origins().has_several_versions());
  std::optional<VersionView> view = decodeVersionView(answer);
  REQUIRE(view);
  CHECK(view->OnlyVersion == hashOfVersion("v1"));
  CHECK(view->Age == Milliseconds(5'200));
  view =
      decodeVersionView(encodeOriginAnswer(3, std::nullopt, SeveralVersions));
  REQUIRE(view);
  CHECK(!view->OnlyVersion);
}

TEST_CASE(
    "an answer of an earlier build that knows one version proves nothing") {
  messages::LoadShare answer =
      encodeOriginAnswer(3, std::nullopt, onlyVersion("v1"));
  answer.mutable_origins()->clear_only_version();
  answer.mutable_origins()->clear_view_age_ms();
  CHECK(!decodeVersionView(answer));
  answer.mutable_origins()->set_has_several_versions(true);
  std::optional<VersionView> view = decodeVersionView(answer);
  REQUIRE(view);
  CHECK(!view->OnlyVersion);
}

// Guards against processes that are cut off together and confirm each other's
// only version, at any size of the fleet.
TEST_CASE("processes that are cut off together do not know the only version") {
  for (size_t n : {6, 60, 350}) {
    INFO(n << " processes");
    Network f(n);
    size_t numCut = n / 3;
    auto isCut = [&](const http::Endpoint &it) {
      return std::any_of(f.Processes.begin(),
                         f.Processes.begin() + static_cast<ptrdiff_t>(numCut),
                         [&](const auto &p) { return p.Address == it; });
    };
    f.IsLost = [&](const Network::Datagram &it) {
      return isCut(it.From) != isCut(it.To);
    };
    auto setAge = [&](size_t i, Milliseconds age) {
      f.Origins[i]->setViewSource(
          [age](uint64_t) { return std::optional(onlyVersion("v1", age)); });
    };
    for (size_t i = 0; i < n; ++i)
      setAge(i, Milliseconds(i < numCut ? 5'000 : 400));
    for (size_t stream = 0; stream < 20; ++stream) {
      FoundOrigin out = f.find(0, std::to_string(stream));
      CHECK(!isOnlyVersion(onlyVersion("v1", Milliseconds(5'000)),
                           out.PeerViews));
      // The others have silent peers, too, but hear of what joins.
      out = f.find(n - 1, std::to_string(stream));
      CHECK(isOnlyVersion(onlyVersion("v1", Milliseconds(400)), out.PeerViews));
    }
  }
}

TEST_CASE("further peers are asked if the first ones are out of date") {
  Network f(6);
  for (size_t i = 0; i < 6; ++i)
    f.Origins[i]->setViewSource([](uint64_t) {
      return std::optional(onlyVersion("v1", Milliseconds(5'000)));
    });
  CHECK(f.find(0, "stream").PeerViews.size() == 5);
}

TEST_CASE("the version of a stream outlives holders that die in turn") {
  Network f(12);
  f.Origins[0]->record("model", "stream", "v1", true);
  f.runFor(RepeatLimit);
  REQUIRE(f.records() == HoldersPerStream);
  std::vector<size_t> holders = {f.receiver(0), f.receiver(1), f.receiver(2)};
  f.kill({0, holders[0], holders[1]});
  f.runFor(HandoverLimit);
  f.kill({holders[2]});
  for (size_t i = 0; i < 12; ++i)
    if (!f.Dead.contains(i))
      CHECK(f.find(i, "stream").Version == hashOfVersion("v1"));
}

TEST_CASE("the version of a stream outlives holders that restart in turn") {
  Network f(12);
  f.Origins[0]->record("model", "stream", "v1", true);
  f.runFor(RepeatLimit);
  REQUIRE(f.records() == HoldersPerStream);
  std::vector<size_t> holders = {f.receiver(0), f.receiver(1), f.receiver(2)};
  for (size_t it : {size_t{0}, holders[0], holders[1]})
    f.restart(it);
  f.runFor(HandoverLimit);
  f.restart(holders[2]);
  for (size_t i = 0; i < 12; ++i)
    CHECK(f.find(i, "stream").Version == hashOfVersion("v1"));
}

TEST_CASE("a process that starts asks each other one for records once") {
  Network f(40);
  f.restart(0);
  f.runFor(StartLimit * 2);
  f.Origins[0]->setProcesses({f.Processes[0]});
  f.Origins[0]->setProcesses(f.Processes);
  f.runFor(StartLimit);
  CHECK(f.Sent.size() == 39);
}

TEST_CASE("streams of a service with one version are given to nobody") {
  Network f(6);
  for (int i = 0; i < 100; ++i)
    f.Origins[0]->record("model", std::to_string(i), "v1", false);
  f.restart(1);
  f.runFor(StartLimit);
  f.kill({2, 3});
  f.runFor(HandoverLimit);
  CHECK(std::none_of(f.Sent.begin(), f.Sent.end(),
                     [](const auto &it) { return it.isHandover(); }));
}

TEST_CASE("streams that callers no longer take up are given to nobody") {
  OriginTable table;
  table.putHeld({1, 7}, Start);
  table.putHeld({2, 7}, Start + std::chrono::seconds(20));
  MonoTime now = Start + std::chrono::seconds(31);
  std::vector<KnownOrigin> records =
      table.recentRecords(std::chrono::seconds(30), now);
  REQUIRE(records.size() == 1);
  CHECK(records[0].Record == OriginRecord{2, 7});
  // A record keeps its age when it is given on.
  OriginTable other;
  for (const KnownOrigin &it :
       decodeHandover(encodeHandover(records, now), now))
    other.putHandedOver(it, now);
  CHECK(other.find(2, now) == 7U);
  now += std::chrono::seconds(20);
  CHECK(other.recentRecords(std::chrono::seconds(30), now).empty());
}

TEST_CASE("records are given to new holders only, by those that have them") {
  std::vector<HashedProcess> all = hashProcesses(makeProcesses(60, 5));
  for (uint64_t stream = 0; stream < 500; ++stream) {
    std::vector<http::Endpoint> holders = chooseHolders(stream, all, {});
    std::vector<HashedProcess> after = all;
    std::erase_if(after, [&](const HashedProcess &it) {
      return it.Process.Address == holders[0];
    });
    KnownOrigin record{{stream, 7}, Start};
    std::vector<Handover> out =
        chooseHandovers({&record, 1}, all, after, holders[1]);
    std::vector<http::Endpoint> now = chooseHolders(stream, after, {});
    REQUIRE(out.size() >= 1);
    for (const Handover &it : out) {
      CHECK(std::find(holders.begin(), holders.begin() + HoldersPerStream,
                      it.To) == holders.begin() + HoldersPerStream);
      CHECK(std::find(now.begin(), now.begin() + HoldersPerStream, it.To) !=
            now.begin() + HoldersPerStream);
    }
    CHECK(chooseHandovers({&record, 1}, all, all, holders[1]).empty());
    for (const HashedProcess &it : all) {
      bool holds =
          std::find(holders.begin(), holders.begin() + HoldersPerStream,
                    it.Process.Address) != holders.begin() + HoldersPerStream;
      CHECK(chooseRecordsFor(it, {&record, 1}, all).size() == (holds ? 1 : 0));
    }
  }
}

TEST_CASE("a mass death and restarts cause no storm of records") {
  Network f(40);
  // Only process 0 runs.
  for (size_t i = 1; i < 40; ++i)
    f.Dead.insert(i);
  for (uint32_t i = 0; i < 20'000; i += 100) {
    std::vector<OriginRecord> records;
    for (uint32_t k = i; k < i + 100; ++k)
      records.push_back({k * 0x9E3779B97F4A7C15, 7});
    f.Origins[0]->handle(encodeOrigins(records), f.Processes[1].Address);
  }
  std::vector<RunningProcess> running(f.Processes.begin(),
                                      f.Processes.begin() + 16);
  f.Origins[0]->setProcesses(running);
  MonoTime begin = MonoClock::now();
  for (size_t i = 1; i < 40; ++i) {
    f.Origins[0]->handle(encodeRecordsRequest("domain-0"),
                         f.Processes[i].Address);
    f.runFor(Milliseconds(50));
  }
  double bytes = 0;
  for (const Network::Datagram &it : f.Sent)
    bytes += static_cast<double>(it.bytes());
  double seconds = toSeconds(MonoClock::now() - begin);
  CHECK(f.Sent.size() > 10);
  // A burst of five seconds' bytes, and then the target of a process.
  CHECK(bytes <= 7'000 * (5 + seconds) + 1'500);
}

TEST_CASE("datagrams of other kinds are left to others") {
  Network f(2);
  messages::LoadShare report;
  report.set_node("old");
  report.set_sequence(4);
  CHECK(!f.Origins[0]->handle(report, f.Processes[1].Address));
  report.mutable_query()->set_id(1);
  CHECK(!f.Origins[0]->handle(report, f.Processes[1].Address));
  report.mutable_relay();
  CHECK(!f.Origins[0]->handle(report, f.Processes[1].Address));
}

TEST_CASE("incomplete datagrams of origins are harmless") {
  Network f(2);
  messages::LoadShare in;
  in.mutable_origins()->add_streams(1);
  CHECK(f.Origins[0]->handle(in, f.Processes[1].Address));
  in.mutable_origins()->add_versions(1);
  in.mutable_origins()->add_versions(2);
  CHECK(f.Origins[0]->handle(in, f.Processes[1].Address));
  in.mutable_origins()->clear_streams();
  in.mutable_origins()->set_query(3);
  CHECK(f.Origins[0]->handle(in, f.Processes[1].Address));
  in.mutable_origins()->set_answer(3);
  CHECK(f.Origins[0]->handle(in, f.Processes[1].Address));
}
