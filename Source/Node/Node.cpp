#include "Node/Node.h"

#include "Node/NodeSettings.h"
#include "Sardineford/Common/Log.h"
#include "Sardineford/Common/Random.h"
#include "Sardineford/Http/Status.h"
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

constexpr Milliseconds InitialRetryDelay{50};
constexpr Milliseconds MaxRetryDelay{2'000};
constexpr Milliseconds ReadinessInterval{50};
constexpr Milliseconds DrainPollInterval{20};
/// A draining process exits after this time without an open request.
constexpr Milliseconds IdleTimeBeforeExit{100};
/// Rounds of store reads that a starting process makes before it accepts a
/// generation from its peers.
constexpr int RoundsBeforePeerGeneration = 3;

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
               static_cast<size_t>(s.get(EventRingCapacity))),
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
  ApplicationHandler = std::move(handler);
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
  spawn(Io, "first-generation", [this] { return loadFirstGeneration(); });
  spawn(Io, "readiness", [this] { return readinessLoop(); });
  spawn(Io, "stop", [this] { return stopOnSignal(); });
  Recorder.record(
      {.Kind = timeline::EventKind::ProcessStarted, .Detail = Incarnation});
}

bool Node::isIsolated() const {
  return MonoClock::now() - Exchange.lastConfirmed() >
         Options.milliseconds(IsolationTimeout);
}

bool Node::isReady() const {
  bool hasConfiguration =
      HasNewestGeneration && Exchange.config().generation() > 0;
  if (IsStopping || !hasConfiguration || isIsolated())
    return false;
  return std::all_of(ReadinessConditions.begin(), ReadinessConditions.end(),
                     [](const auto &it) { return it(); });
}

/// Reads the newest generation from the store and applies it. Throws
/// StoreError.
Awaitable<void> Node::applyNewestGeneration() {
  config::Delta d = co_await config::readNewestGeneration(Store);
  Exchange.recordConfirmation(MonoClock::now());
  Exchange.applyGeneration(d);
}

/// Loads the newest generation from the store or, while the store is down,
/// waits for a generation from the peers. The process is not ready before that.
Awaitable<void> Node::loadFirstGeneration() {
  store::Backoff backoff(InitialRetryDelay, MaxRetryDelay);
  for (int round = 0; !HasNewestGeneration; ++round) {
    try {
      co_await applyNewestGeneration();
      HasNewestGeneration = true;
    } catch (const Error &e) {
      log::warn(log::Category::Config,
                "reading the newest generation failed: {}", e.what());
    }
    bool hasPeerGeneration =
        Exchange.config().generation() > 0 && !isIsolated();
    if (round >= RoundsBeforePeerGeneration && hasPeerGeneration)
      HasNewestGeneration = true;
    if (!HasNewestGeneration)
      co_await sleepFor(backoff.next());
  }
  spawn(Io, "watch-generation", [this] { return watchGeneration(); });
}

/// Returns whether this process watches the store. At most MaxWatchers
/// processes do so, the others receive new generations from their peers. The
/// watchers are chosen by a rendezvous hash over the members, so that all
/// processes agree without coordination.
bool Node::shouldWatch() const {
  uint64_t ownHash = hash64(Name);
  int64_t higherHashes = 0;
  for (const auto &[name, m] : Exchange.members())
    higherHashes +=
        m.ConsecutiveFailures == 0 && !m.Stopping && hash64(name) > ownHash ? 1
                                                                            : 0;
  return higherHashes < Options.get(MaxWatchers);
}

Awaitable<void> Node::watchGeneration() {
  store::Backoff backoff(InitialRetryDelay, MaxRetryDelay);
  uint64_t revision = 0;
  for (;;) {
    if (!shouldWatch()) {
      co_await sleepFor(jittered(Options.milliseconds(InstanceListInterval)));
      continue;
    }
    bool failed = false;
    try {
      store::Changes changes = co_await Store.watch(
          config::kinds::Pointer, revision, Options.milliseconds(WatchTimeout));
      Exchange.recordConfirmation(MonoClock::now());
      revision = changes.Revision;
      if (!changes.Objects.empty())
        co_await applyNewestGeneration();
      backoff.reset();
    } catch (const Error &e) {
      log::debug(log::Category::Config,
                 "watching the newest generation failed: {}", e.what());
      // A watch from revision 0 also reports the changes made since the
      // failure.
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
      InstanceEntries = co_await Instances.read();
      std::vector<http::Endpoint> peers;
      for (const Instance &it : InstanceEntries) {
        bool isPeer = it.Kind == InstanceKind::Entry ||
                      it.Kind == InstanceKind::Controller;
        if (isPeer && it.State != InstanceState::Gone)
          peers.push_back(it.Address);
      }
      Exchange.setPeers(std::move(peers));
      if (OnInstanceListRead)
        OnInstanceListRead();
    } catch (const std::exception &e) {
      log::debug(log::Category::Common, "reading the instance list failed: {}",
                 e.what());
    }
    co_await sleepFor(jittered(Options.milliseconds(InstanceListInterval)));
  }
}

Awaitable<void> Node::readinessLoop() {
  for (;;) {
    Exchange.setReady(isReady());
    co_await sleepFor(ReadinessInterval);
  }
}

Awaitable<void> Node::stopOnSignal() {
  boost::asio::signal_set signals(Io, SIGTERM, SIGINT);
  co_await signals.async_wait(boost::asio::use_awaitable);
  log::info(log::Category::Common, "stopping: waiting for open requests");
  Recorder.record({.Kind = timeline::EventKind::ProcessStopping});
  IsStopping = true;
  Exchange.setStopping();
  if (OnStopBegun)
    OnStopBegun();
  co_await sleepFor(Options.milliseconds(LoadBalancerDelay));
  HttpServer->stopAccepting();
  MonoTime end = MonoClock::now() + Options.milliseconds(DrainLimit);
  MonoTime idleSince = MonoClock::now();
  while (MonoClock::now() < end &&
         MonoClock::now() - idleSince < IdleTimeBeforeExit) {
    co_await sleepFor(DrainPollInterval);
    if (HttpServer->openRequests() > 0)
      idleSince = MonoClock::now();
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
                             "use, for example, category=all and level=debug"),
                       Executed::No);
}

Awaitable<void> Node::handle(http::Request &request,
                             http::ResponseWriter &out) {
  std::string_view path = http::pathOf(request.Target);
  http::Response r;
  if (path == "/healthz") {
    r = http::jsonResponse(200, R"({"status":"ok"})");
  } else if (path == "/readyz") {
    r = isReady() ? http::jsonResponse(200, R"({"status":"ready"})")
                  : http::problem(http::StatusUnavailable,
                                  Error(ErrorKind::NotReady, "not ready",
                                        "try another instance"),
                                  Executed::No, Milliseconds(1'000));
  } else if (path == "/metrics") {
    r.Fields.add("Content-Type", "text/plain; version=0.0.4");
    r.Body = Metrics.render();
  } else if (path == "/events") {
    r = http::jsonResponse(200, Recorder.toJson());
  } else if (path == "/log-level") {
    r = setLogLevel(request);
  } else {
    co_await ApplicationHandler(request, out);
    co_return;
  }
  co_await out.send(std::move(r));
}

} // namespace sardineford::node
