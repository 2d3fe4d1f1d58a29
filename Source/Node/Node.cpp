#include "Node/Node.h"

#include "Node/NodeSettings.h"
#include "Sardineford/Common/Log.h"
#include "Sardineford/Common/Random.h"
#include "Sardineford/Store/Write.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <csignal>

namespace sardineford::node {

using membership::Instance;
using membership::InstanceKind;
using membership::InstanceState;

namespace {

constexpr Milliseconds FirstRetry{50};
constexpr Milliseconds LongestRetry{2'000};
constexpr Milliseconds ReadinessEvery{50};
constexpr Milliseconds DrainPoll{20};
/// A stopping process ends after this time without an open request.
constexpr Milliseconds QuietTime{100};
/// A starting process asks its peers this often before it believes them.
constexpr int PeerRounds = 3;

exchange::ExchangeOptions exchangeOptions(const settings::Settings &s,
                                          const std::string &incarnation,
                                          bool isController) {
  exchange::ExchangeOptions o;
  o.Name = s.get(Name);
  o.Incarnation = incarnation;
  o.FailureDomain = s.get(FailureDomain);
  std::string advertised = s.get(RpcAdvertise);
  o.Address =
      http::parseEndpoint(advertised.empty() ? s.get(RpcListen) : advertised);
  o.IsController = isController;
  o.Interval = s.milliseconds(ExchangeInterval);
  return o;
}

} // namespace

Node::Node(IoContext &io, const settings::Settings &s, bool isController)
    : Io(io), Options(s), Name(s.get(node::Name)),
      Incarnation(makeIncarnation()),
      Recorder({Name, Name, s.get(FailureDomain)},
               static_cast<size_t>(s.get(EventRing))),
      Client(io), Store(Client, http::parseEndpoint(s.get(Platform)),
                        s.milliseconds(PlatformTimeout)),
      Instances(Client, http::parseEndpoint(s.get(Platform))),
      RpcServer(io, http::parseEndpoint(s.get(RpcListen))), RpcClient(io),
      Exchange(io, exchangeOptions(s, Incarnation, isController), RpcServer,
               RpcClient, Recorder) {
  if (!s.get(HistoryFile).empty())
    Recorder.openHistory(s.get(HistoryFile));
  registerGauges();
}

void Node::registerGauges() {
  Metrics.gauge("sardineford_generation", {}, [this] {
    return static_cast<double>(Exchange.config().generation());
  });
  Metrics.gauge("sardineford_ready", {},
                [this] { return isReady() ? 1.0 : 0.0; });
  Metrics.gauge("sardineford_control_sent_bytes_total", {}, [this] {
    return static_cast<double>(RpcServer.traffic().Sent +
                               RpcClient.traffic().Sent);
  });
  Metrics.gauge("sardineford_control_received_bytes_total", {}, [this] {
    return static_cast<double>(RpcServer.traffic().Received +
                               RpcClient.traffic().Received);
  });
  store::registerCounts(Metrics, Store);
}

void Node::serve(http::Handler handler, size_t maxBodyBytes) {
  Other = std::move(handler);
  http::ServerOptions o;
  o.Listen = http::parseEndpoint(Options.get(HttpListen));
  o.MaxBodyBytes = maxBodyBytes;
  HttpServer = std::make_unique<http::Server>(
      Io, o, [this](http::Request &request, http::ResponseWriter &out) {
        return handle(request, out);
      });
}

void Node::start() {
  RpcServer.start();
  HttpServer->start();
  Exchange.start();
  spawn(Io, "instance-list", [this] { return listLoop(); });
  spawn(Io, "first-generation", [this] { return firstGeneration(); });
  spawn(Io, "readiness", [this] { return readinessLoop(); });
  spawn(Io, "stop", [this] { return stopOnSignal(); });
  Recorder.record(
      {.Kind = timeline::EventKind::ProcessStarted, .Detail = Incarnation});
}

bool Node::isIsolated() const {
  return MonoClock::now() - Exchange.lastConfirmed() >
         Options.milliseconds(IsolatedAfter);
}

bool Node::isReady() const {
  bool hasConfiguration = HasNewest && Exchange.config().generation() > 0;
  if (IsStopping || !hasConfiguration || isIsolated())
    return false;
  return std::all_of(Conditions.begin(), Conditions.end(),
                     [](const auto &it) { return it(); });
}

/// Reads the newest generation from the store. Throws StoreError.
Awaitable<void> Node::readNewest() {
  config::Delta d = co_await config::readNewestGeneration(Store);
  Exchange.recordConfirmation(MonoClock::now());
  Exchange.applyGeneration(d);
}

/// A process is not ready before it has the newest generation that the store
/// knows or, while the store is down, that its peers know.
Awaitable<void> Node::firstGeneration() {
  store::Backoff backoff(FirstRetry, LongestRetry);
  for (int round = 0; !HasNewest; ++round) {
    try {
      co_await readNewest();
      HasNewest = true;
    } catch (const Error &e) {
      log::warn(log::Category::Config, "the newest generation: {}", e.what());
    }
    bool peersTold = Exchange.config().generation() > 0 && !isIsolated();
    if (round >= PeerRounds && peersTold)
      HasNewest = true;
    if (!HasNewest)
      co_await sleepFor(backoff.next());
  }
  spawn(Io, "watch-generation", [this] { return watchGeneration(); });
}

/// Few processes watch the store; the others learn from them. The choice is a
/// rendezvous hash over the members, so that all agree without talk.
bool Node::shouldWatch() const {
  uint64_t own = hash64(Name);
  int64_t higher = 0;
  for (const auto &[name, m] : Exchange.members())
    higher +=
        m.ConsecutiveFailures == 0 && !m.Stopping && hash64(name) > own ? 1 : 0;
  return higher < Options.get(Watchers);
}

Awaitable<void> Node::watchGeneration() {
  store::Backoff backoff(FirstRetry, LongestRetry);
  uint64_t revision = 0;
  for (;;) {
    if (!shouldWatch()) {
      co_await sleepFor(jittered(Options.milliseconds(ListInterval)));
      continue;
    }
    bool failed = false;
    try {
      store::Changes seen = co_await Store.watch(
          config::kinds::Pointer, revision, Options.milliseconds(WatchTime));
      Exchange.recordConfirmation(MonoClock::now());
      revision = seen.Revision;
      if (!seen.Objects.empty())
        co_await readNewest();
      backoff.reset();
    } catch (const Error &e) {
      log::debug(log::Category::Config, "watch: {}", e.what());
      // What changed meanwhile must be seen.
      revision = 0;
      failed = true;
    }
    if (failed)
      co_await sleepFor(backoff.next());
  }
}

Awaitable<void> Node::listLoop() {
  for (;;) {
    try {
      List = co_await Instances.read();
      std::vector<http::Endpoint> peers;
      for (const Instance &it : List) {
        bool isPeer = it.Kind == InstanceKind::Entry ||
                      it.Kind == InstanceKind::Controller;
        if (isPeer && it.State != InstanceState::Gone)
          peers.push_back(it.Address);
      }
      Exchange.setPeers(std::move(peers));
      if (ListRead)
        ListRead();
    } catch (const std::exception &e) {
      log::debug(log::Category::Common, "instance list: {}", e.what());
    }
    co_await sleepFor(jittered(Options.milliseconds(ListInterval)));
  }
}

Awaitable<void> Node::readinessLoop() {
  for (;;) {
    Exchange.setReady(isReady());
    co_await sleepFor(ReadinessEvery);
  }
}

Awaitable<void> Node::stopOnSignal() {
  boost::asio::signal_set signals(Io, SIGTERM, SIGINT);
  co_await signals.async_wait(boost::asio::use_awaitable);
  log::info(log::Category::Common, "stopping: waiting for open requests");
  Recorder.record({.Kind = timeline::EventKind::ProcessStopping});
  IsStopping = true;
  Exchange.setStopping();
  if (Stopping)
    Stopping();
  co_await sleepFor(Options.milliseconds(BalancerWait));
  HttpServer->stopAccepting();
  MonoTime end = MonoClock::now() + Options.milliseconds(DrainLimit);
  MonoTime quietSince = MonoClock::now();
  while (MonoClock::now() < end && MonoClock::now() - quietSince < QuietTime) {
    co_await sleepFor(DrainPoll);
    if (HttpServer->openRequests() > 0)
      quietSince = MonoClock::now();
  }
  Recorder.record({.Kind = timeline::EventKind::ProcessStopped});
  Io.stop();
}

http::Response Node::setLogLevel(const http::Request &request) {
  std::string category =
      http::queryOf(request.Target, "category").value_or("all");
  std::string level = http::queryOf(request.Target, "level").value_or("");
  if (log::setLevel(category, level))
    return http::jsonResponse(200, "{}");
  return http::problem(400,
                       Error(ErrorKind::BadRequest,
                             "unknown log category or level",
                             "give category=all and level=debug, say"),
                       RunState::No);
}

Awaitable<void> Node::handle(http::Request &request,
                             http::ResponseWriter &out) {
  std::string_view path = http::pathOf(request.Target);
  http::Response r;
  if (path == "/healthz") {
    r = http::jsonResponse(200, R"({"status":"ok"})");
  } else if (path == "/readyz") {
    r = isReady() ? http::jsonResponse(200, R"({"status":"ready"})")
                  : http::problem(503,
                                  Error(ErrorKind::NotReady, "not ready",
                                        "try another instance"),
                                  RunState::No, Milliseconds(1'000));
  } else if (path == "/metrics") {
    r.Fields.add("Content-Type", "text/plain; version=0.0.4");
    r.Body = Metrics.render();
  } else if (path == "/events") {
    r = http::jsonResponse(200, Recorder.toJson());
  } else if (path == "/log-level") {
    r = setLogLevel(request);
  } else {
    co_await Other(request, out);
    co_return;
  }
  co_await out.send(std::move(r));
}

} // namespace sardineford::node
