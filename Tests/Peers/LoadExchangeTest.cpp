#include "Peers/LoadExchange.h"

#include "Messages/Messages.pb.h"
#include "Peers/OriginCodec.h"
#include "StandIns/Deployment/Deployment.h"

#include <boost/asio/ip/udp.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <sstream>

using namespace sardineford;
using namespace sardineford::peers;

namespace asio = boost::asio;

namespace {

/// Timeout for a condition; the processes normally meet it well within 1 s.
constexpr Milliseconds Limit{20'000};

/// A store of one kind of objects, in memory.
class MemoryStore : public store::ObjectStore {
public:
  Awaitable<std::optional<store::Object>> get(std::string,
                                              std::string name) override {
    auto it = Objects.find(name);
    if (it == Objects.end())
      co_return std::nullopt;
    co_return it->second;
  }
  Awaitable<store::ObjectList> list(std::string) override {
    store::ObjectList out;
    out.Revision = Revision;
    for (const auto &[name, it] : Objects)
      out.Objects.push_back(it);
    co_return out;
  }
  Awaitable<uint64_t> put(std::string kind, std::string name, std::string value,
                          uint64_t) override {
    Objects[name] = {kind, name, ++Revision, value};
    co_return Revision;
  }
  Awaitable<void> remove(std::string, std::string name, uint64_t) override {
    Objects.erase(name);
    co_return;
  }
  Awaitable<store::Changes> watch(std::string, uint64_t,
                                  Milliseconds) override {
    co_return store::Changes{};
  }

private:
  std::map<std::string, store::Object> Objects;
  uint64_t Revision = 1;
};

/// The exchange of one process that knows one backend server.
struct Node {
  Node(IoContext &io, store::ObjectStore &store, const std::string &name,
       RunningProcess at)
      : Exchange(io, store, name, std::move(at), Servers, Metrics) {
    fleet::ServerEntry e;
    e.Id = "engine";
    e.Service = "model";
    e.FailureDomain = "domain-0";
    Servers.put(e);
    Exchange.start();
  }

  fleet::ServerPtr engine() { return Servers.find("engine"); }

  /// Bytes of the datagrams of a kind, or of all, that were sent, without their
  /// headers.
  double sentBytes(const std::string &kind = "") const {
    std::istringstream text(Metrics.render());
    double out = 0;
    for (std::string line; std::getline(text, line);)
      if (line.starts_with("sardineford_peer_bytes_total{") &&
          line.find(kind) != std::string::npos)
        out += std::stod(line.substr(line.rfind(' ')));
    return out;
  }

  fleet::Directory Servers{[](const fleet::Server &, std::string_view) {}};
  metrics::Metrics Metrics;
  LoadExchange Exchange;
};

/// Processes of three failure domains in turn.
struct Fleet {
  explicit Fleet(size_t n) {
    for (size_t i = 0; i < n; ++i) {
      Addresses.push_back(
          {"domain-" + std::to_string(i % 3), standins::freeEndpoint()});
      Nodes.push_back(std::make_unique<Node>(
          Io, Store, "node-" + std::to_string(i), Addresses.back()));
    }
  }

  /// Runs until the condition is true for every process. Returns false on a
  /// timeout.
  bool runUntil(const std::function<bool(Node &)> &condition,
                Milliseconds limit = Limit) {
    MonoTime end = MonoClock::now() + limit;
    for (;;) {
      bool all = true;
      for (auto &it : Nodes)
        all = all && condition(*it);
      if (all || MonoClock::now() > end)
        return all;
      Io.restart();
      Io.run_for(Milliseconds(20));
    }
  }

  /// Asks for the work of the others at the server. Requests and tokens are 0
  /// if no answer arrives.
  TrackedAnswer ask(Node &node) {
    std::optional<std::vector<TrackedAnswer>> answers;
    std::vector<std::string> servers = {"engine"};
    std::vector<PartSize> parts = {{42, 500}};
    spawn(Io, "ask", [&]() -> Awaitable<void> {
      answers = co_await node.Exchange.tracking().query(servers, parts);
    });
    while (!answers) {
      Io.restart();
      Io.run_one_for(Milliseconds(20));
    }
    return answers->empty() ? TrackedAnswer{} : answers->front();
  }

  FoundOrigin findOrigin(Node &node, std::string streamId) {
    std::optional<FoundOrigin> out;
    std::string service = "model";
    spawn(Io, "find", [&]() -> Awaitable<void> {
      out = co_await node.Exchange.origins().find(service, streamId);
    });
    while (!out) {
      Io.restart();
      Io.run_one_for(Milliseconds(20));
    }
    return *out;
  }

  /// Ends the process with this number.
  void stop(size_t i) {
    Nodes[i]->Exchange.stop();
    Stopped.push_back(std::move(Nodes[i]));
    Nodes.erase(Nodes.begin() + static_cast<ptrdiff_t>(i));
  }

  IoContext Io{1};
  MemoryStore Store;
  /// Their coroutines still refer to them.
  std::vector<std::unique_ptr<Node>> Stopped;
  std::vector<RunningProcess> Addresses;
  std::vector<std::unique_ptr<Node>> Nodes;
};

} // namespace

// So many processes use trackers; their reports are relayed between groups.
constexpr size_t GroupedProcesses = 20;

bool knowsAllPeers(Node &it) {
  return it.Exchange.processes() == GroupedProcesses &&
         it.Exchange.tracking().isActive();
}

TEST_CASE("every process receives the work of all its peers") {
  constexpr size_t N = 5;
  Fleet f(N);
  CHECK(f.runUntil([](Node &it) { return it.Exchange.processes() == N; }));
  for (auto &it : f.Nodes) {
    it->engine()->LocalWork.Requests = 1;
    it->engine()->LocalWork.tokens(fleet::WorkPriority::Urgent) = 100;
  }
  CHECK(f.runUntil([](Node &it) {
    return it.engine()->PeerWork ==
           fleet::WorkInFlight{{0, 100.0 * (N - 1), 0}, N - 1};
  }));
  for (auto &it : f.Nodes)
    it->engine()->LocalWork = {};
  CHECK(f.runUntil(
      [](Node &it) { return it.engine()->PeerWork == fleet::WorkInFlight{}; }));
}

TEST_CASE("every process of a large fleet can ask for the work of its peers") {
  constexpr size_t N = GroupedProcesses;
  Fleet f(N);
  CHECK(f.runUntil(knowsAllPeers));
  for (auto &it : f.Nodes) {
    it->engine()->LocalWork.Requests = 1;
    it->engine()->LocalWork.tokens(fleet::WorkPriority::Urgent) = 100;
    it->Exchange.tracking().recordChange("engine");
  }
  CHECK(f.runUntil([&](Node &it) {
    return f.ask(it).Work ==
           fleet::WorkInFlight{{0, 100.0 * (N - 1), 0}, N - 1};
  }));
  for (auto &it : f.Nodes) {
    it->engine()->LocalWork = {};
    it->Exchange.tracking().recordChange("engine");
  }
  CHECK(f.runUntil(
      [&](Node &it) { return f.ask(it).Work == fleet::WorkInFlight{}; }));
}

// The new tracker learns the shares when their senders notice its start, or
// with their next repetition.
TEST_CASE("the work is known again after the tracker has gone") {
  constexpr size_t N = GroupedProcesses;
  Fleet f(N);
  CHECK(f.runUntil(knowsAllPeers));
  for (auto &it : f.Nodes) {
    it->engine()->LocalWork.Requests = 1;
    it->Exchange.tracking().recordChange("engine");
  }
  CHECK(f.runUntil([&](Node &it) { return f.ask(it).Work.Requests == N - 1; }));
  TrackerMap map;
  map.setProcesses(f.Addresses);
  const http::Endpoint &tracker = map.trackerOf("engine", "domain-0");
  auto it = std::find_if(f.Addresses.begin(), f.Addresses.end(),
                         [&](const auto &it) { return it.Address == tracker; });
  f.stop(static_cast<size_t>(it - f.Addresses.begin()));
  CHECK(f.runUntil([&](Node &it) { return f.ask(it).Work.Requests == N - 2; }));
}

TEST_CASE("a cached prompt part is published to all processes") {
  Fleet f(5);
  CHECK(f.runUntil([](Node &it) { return it.Exchange.processes() == 5; }));
  f.Nodes[3]->Exchange.publishPart("engine", 42, 500);
  f.Nodes[3]->engine()->CachedParts.recordUse(42, 500, MonoClock::now());
  CHECK(f.runUntil(
      [](Node &it) { return it.engine()->CachedParts.contains(42); }));
}

TEST_CASE("the tracker of a large fleet knows the cached prompt parts") {
  Fleet f(GroupedProcesses);
  CHECK(f.runUntil(knowsAllPeers));
  f.Nodes[7]->Exchange.publishPart("engine", 42, 500);
  CHECK(f.runUntil([&](Node &it) { return f.ask(it).CachedTokens == 500; }));
}

TEST_CASE("the version of a stream is found after its process has gone") {
  for (size_t n : {size_t{2}, size_t{5}, GroupedProcesses}) {
    INFO(n << " processes");
    Fleet f(n);
    REQUIRE(f.runUntil([&](Node &it) { return it.Exchange.processes() == n; }));
    f.Nodes[0]->Exchange.origins().record("model", "stream", "v1", true);
    f.Io.restart();
    f.Io.run_for(Milliseconds(150));
    f.stop(0);
    for (auto &it : f.Nodes)
      CHECK(f.findOrigin(*it, "stream").Version == hashOfVersion("v1"));
    FoundOrigin unknown = f.findOrigin(*f.Nodes[0], "other");
    CHECK(!unknown.Version);
    CHECK(f.Nodes[0]->sentBytes("origins") > 0);
  }
}

// An earlier build does not know the field of the origins.
TEST_CASE("an earlier build does not take origins for a report") {
  Fleet f(3);
  REQUIRE(f.runUntil([](Node &it) { return it.Exchange.processes() == 3; }));
  asio::ip::udp::socket socket(f.Io, asio::ip::udp::v4());
  asio::ip::udp::endpoint to(
      asio::ip::make_address(f.Addresses[0].Address.Host),
      f.Addresses[0].Address.Port);
  OriginRecord record{1, 2};
  for (messages::LoadShare it :
       {encodeOrigins({&record, 1}), encodeOriginQuery(1, 1, 1),
        encodeOriginAnswer(1, 2, VersionView{}),
        encodeOriginAnswer(1, std::nullopt, std::nullopt)}) {
    it.clear_origins();
    socket.send_to(asio::buffer(it.SerializeAsString()), to);
  }
  f.Io.restart();
  f.Io.run_for(Milliseconds(300));
  CHECK(f.Nodes[0]->Exchange.processes() == 3);
  // A report from there would count as one of a process.
  messages::LoadShare report;
  report.set_node("other");
  socket.send_to(asio::buffer(report.SerializeAsString()), to);
  CHECK(f.runUntil([&](Node &it) {
    return &it != f.Nodes[0].get() || it.Exchange.processes() == 4;
  }));
}

TEST_CASE("invalid datagrams do not end the exchange") {
  Fleet f(3);
  CHECK(f.runUntil([](Node &it) { return it.Exchange.processes() == 3; }));
  asio::ip::udp::socket socket(f.Io, asio::ip::udp::v4());
  asio::ip::udp::endpoint to(
      asio::ip::make_address(f.Addresses[0].Address.Host),
      f.Addresses[0].Address.Port);
  std::mt19937_64 random(1);
  // A relay with a report without an address, then random bytes.
  std::string base("\x0a\x01x\xaa\x01\x05\x12\x03\x0a\x01y", 11);
  for (int i = 0; i < 2'000; ++i) {
    std::string bytes = base;
    if (i > 0)
      bytes.resize(random() % 60);
    for (size_t at = 0; i > 0 && at < bytes.size(); ++at)
      if (random() % 3 == 0)
        bytes[at] = static_cast<char>(random());
    socket.send_to(asio::buffer(bytes), to);
    if (i % 100 == 0) {
      f.Io.restart();
      f.Io.run_for(Milliseconds(1));
    }
  }
  f.Nodes[1]->engine()->LocalWork.Requests = 5;
  CHECK(f.runUntil([&](Node &it) {
    return &it != f.Nodes[0].get() || it.engine()->PeerWork.Requests == 5;
  }));
}

// The target is 7 KB/s for all control traffic of a process among 350, and its
// recipients grow with the square root of their number.
TEST_CASE(
    "reports take few bytes in a fleet whose store changes all the time") {
  constexpr size_t N = 48;
  constexpr double TargetBytes = 7'000;
  constexpr double TargetProcesses = 350;
  Fleet f(N);
  uint64_t revision = 1;
  for (size_t i = 0; i < N; ++i)
    f.Nodes[i]->Exchange.exchangeStoreViews(
        [&, i] {
          fleet::StoreView v;
          v.Servers.Digest = v.Servers.NewestVersion = revision;
          if (i < 6)
            v.Servers.AnswerAge = Milliseconds(100);
          v.Rank = static_cast<unsigned>(i);
          return v;
        },
        [](const fleet::StoreView &) {});
  REQUIRE(f.runUntil([](Node &it) { return it.Exchange.processes() == N; }));
  std::vector<double> before;
  for (auto &it : f.Nodes)
    before.push_back(it->sentBytes());
  constexpr int SecondsRun = 4;
  for (int i = 0; i < SecondsRun * 20; ++i) {
    ++revision;
    f.Io.restart();
    f.Io.run_for(Milliseconds(50));
  }
  double total = 0;
  for (size_t i = 0; i < N; ++i)
    total += f.Nodes[i]->sentBytes() - before[i];
  double perProcess = total / N / SecondsRun;
  CHECK(perProcess < TargetBytes * std::sqrt(N / TargetProcesses));
}
