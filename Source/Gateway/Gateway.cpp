#include "Gateway/Gateway.h"

#include "Duties/DutySettings.h"
#include "Gateway/ConnectionLimits.h"
#include "Gateway/GatewaySettings.h"
#include "Gateway/PassOn.h"
#include "Gateway/ReturnCheck.h"
#include "Gateway/StateGauges.h"
#include "Gateway/StopDecision.h"
#include "Gateway/StreamOrigin.h"
#include "Gateway/StreamTiming.h"
#include "Node/NodeSettings.h"
#include "Sardineford/Common/Log.h"
#include "Sardineford/Common/Random.h"
#include "Sardineford/Http/CallerBounds.h"
#include "Sardineford/Http/Status.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <spdlog/fmt/fmt.h>

#include <malloc.h>

#include <algorithm>
#include <csignal>
#include <limits>

namespace sardineford::gateway {

namespace {

using log::Category;

constexpr Milliseconds DrainPollInterval{20};
/// The process exits when no request has been open for this time. A request of
/// a connection that was accepted last may still be on its way.
constexpr Milliseconds IdleTimeBeforeExit{100};
constexpr Milliseconds RetryAfterNotReady{500};
/// Error of a request without a key, with several, or with an unknown one.
constexpr const char *UnknownKey =
    "the request has no key of a workspace; send one valid key in one header";
/// Short, because other processes can accept the request immediately.
constexpr Milliseconds RetryAfterStopping{50};

retry::BudgetBounds retryBoundsOf(const settings::Settings &settings) {
  return {settings.get(RetryRatio), settings.get(RetrySlack),
          toMilliseconds(Seconds(settings.get(RetryWindow)))};
}

/// Connections of peers, readiness checks and metrics readers. Callers cannot
/// take these places.
constexpr size_t PeerConnections = 128;
constexpr size_t ReadinessConnections = 16;
constexpr size_t MetricsConnections = 16;

/// Log lines on callers outside the limits are at least this far apart.
constexpr Milliseconds RejectionLogInterval{1'000};

/// Larger blocks are returned to the system when they are freed. glibc raises
/// its own threshold to the size of freed blocks, and keeps bodies of up to
/// 32 MB in a heap that may not shrink.
constexpr int ReturnedBlockBytes = 128 * 1024;

constexpr Milliseconds OutageCheckInterval{200};

http::InstanceSize instanceSizeOf(const settings::Settings &settings) {
  constexpr uint64_t BytesPerMb = uint64_t{1024} * 1024;
  return {static_cast<uint64_t>(settings.get(node::MemoryMb)) * BytesPerMb,
          static_cast<uint64_t>(settings.get(node::MaxDescriptors))};
}

/// Closes the connections of a request to the backend servers.
void abortAttempts(const RequestContext &context) {
  for (const std::weak_ptr<http::AbortHandle> &it : context.Guards)
    if (std::shared_ptr<http::AbortHandle> guard = it.lock())
      guard->abort();
}

/// Lists a request while it is served.
class OpenContext {
public:
  OpenContext(std::set<RequestContext *> &all, RequestContext &context)
      : All(all), Context(&context) {
    All.insert(Context);
  }
  ~OpenContext() { All.erase(Context); }
  OpenContext(const OpenContext &) = delete;
  OpenContext &operator=(const OpenContext &) = delete;

private:
  std::set<RequestContext *> &All;
  RequestContext *Context;
};

/// Returns the ids of the prompt parts that other requests may share.
std::string sharedPartNames(const CallerRequest &request) {
  std::string out;
  for (const PromptPart &it : sharedParts(request))
    out += (out.empty() ? "" : ",") + fmt::format("{:x}", it.Id);
  return out;
}

} // namespace

Gateway::Gateway(IoContext &io, const settings::Settings &settings,
                 store::ObjectStore &store, const fleet::FleetCodec &codec,
                 const BackendProtocol &protocol)
    : Io(io), Options(settings), Protocol(protocol), Client(io),
      Servers([this](const fleet::Server &server, std::string_view change) {
        recordServerChange(server, change);
      }),
      Watch(io, store, codec, Servers, Metrics),
      Versions(io, store, Servers, Metrics),
      Peers(io, store, settings.get(node::Name),
            {settings.get(node::FailureDomain),
             http::parseEndpoint(settings.get(PeerListen))},
            Servers, Metrics),
      Shared{io,
             Client,
             protocol,
             Servers,
             Watch,
             Versions,
             Metrics,
             randomGenerator(),
             settings.get(node::FailureDomain),
             retryBoundsOf(settings),
             MonoClock::now(),
             0,
             false,
             [this](const std::string &server, uint64_t part, uint64_t tokens) {
               Peers.publishPart(server, part, tokens);
             },
             {},
             {},
             Peers.tracking(),
             Peers.origins(),
             Peers.findings()} {
  Shared.PacesServers = settings.get(ServerPacing);
  Watch.expectPosition();
  Watch.onConfiguration([this] { applyConfiguration(); });
  Peers.onPeersChanged([this] {
    Shared.Processes = Peers.members().value_or(0);
    Shared.IsFirstStart = Peers.isFirstStart();
    if (std::optional<fleet::FleetPosition> position = Peers.position()) {
      Watch.setPosition(*position);
      Shared.Rank = position->Rank;
    }
    Versions.setPosition(Peers.position());
  });
  Shared.RunningPeers = [this] { return Peers.runningPeers(); };
  Versions.onWritten([this](const fleet::VersionRecord &record) {
    Peers.publishVersionRecord(record);
  });
  Versions.onApplied(
      [this](const std::string &service) { publishOrigins(service); });
  Peers.origins().setViewSource(
      [this](uint64_t service) { return versionView(service); });
  Peers.onVersionRecord([this](const fleet::VersionRecord &record) {
    Versions.applyPublished(record);
  });
  Watch.onChanges([this](const fleet::PublishedChanges &changes) {
    Peers.publishChanges(changes);
  });
  Peers.onChanges([this](const fleet::PublishedChanges &changes) {
    return Watch.applyChanges(changes);
  });
  Watch.onRestore([this] {
    Peers.registerAgain();
    Versions.readAgain();
  });
  Peers.exchangeStoreViews(
      [this] { return Watch.view(); },
      [this](const fleet::StoreView &peer) { Watch.checkPeerView(peer); });
  Servers.onReappearance([this](const fleet::ServerEntry &entry) {
    spawn(Io, "check-return",
          [this, entry] { return checkReturnedServer(Shared, entry); });
  });
  store::registerCounts(Metrics, store);
  registerStateGauges(Shared, Peers);
  registerGauges();
}

void Gateway::setDuties(store::ObjectStore &store, duties::DutyApi &api) {
  duties::DutyOptions options;
  options.Name = Options.get(node::Name);
  options.Incarnation = Peers.incarnation();
  options.Times = duties::leaseTimes(Options.milliseconds(duties::DutyLease));
  options.Windows = {
      toMilliseconds(Seconds(Options.get(duties::UsageWindowLength)))};
  options.DueAfter = toMilliseconds(Seconds(Options.get(duties::UsageDue)));
  options.CallsPerSecond = Options.get(duties::DutyCallRate);
  duties::DutyPeers peers;
  peers.Rank = [this]() -> std::optional<unsigned> {
    std::optional<fleet::FleetPosition> position = Peers.position();
    return position ? std::make_optional(position->Rank) : std::nullopt;
  };
  peers.Contenders = [this] {
    return Peers.firstProcesses(duties::Contenders);
  };
  peers.Send = [this](const std::vector<duties::WindowCount> &counts,
                      const std::vector<http::Endpoint> &to) {
    Peers.publishUsage(counts, to);
  };
  options.OrdersServers =
      ("," + Options.get(duties::DutyNames) + ",").find(",scaling,") !=
      std::string::npos;
  peers.SendWork = [this](const std::vector<duties::ServiceWork> &work,
                          const std::vector<http::Endpoint> &to) {
    Peers.publishWork(work, to);
  };
  peers.Services = [this] { return orderableServices(Shared); };
  Duties = std::make_unique<duties::DutyRunner>(
      Io, store, api, std::move(options), std::move(peers), Metrics);
  Peers.onUsage([this](const std::string &incarnation,
                       const std::vector<duties::WindowCount> &counts) {
    Duties->receive(incarnation, counts);
  });
  Peers.onWork([this](const std::string &incarnation,
                      const std::vector<duties::ServiceWork> &work) {
    Duties->receiveWork(incarnation, work);
  });
  Shared.CountUsage = [this](const std::string &workspace) {
    Duties->count(workspace);
  };
}

std::optional<peers::VersionView> Gateway::versionView(uint64_t service) const {
  if (!Watch.isLoaded() || !Servers.isVersionHistoryKnown())
    return std::nullopt;
  MonoTime now = MonoClock::now();
  for (const std::string &it : Versions.services()) {
    if (peers::hashOfService(it) != service)
      continue;
    std::set<std::string> versions = Servers.softwareVersions(it, now);
    if (versions.empty())
      return std::nullopt;
    return versionViewOf(versions, Watch.routeHistory().sharesStreams(it, now),
                         Watch.serversAge());
  }
  return std::nullopt;
}

void Gateway::publishOrigins(const std::string &service) {
  if (Servers.softwareVersions(service, MonoClock::now()).size() > 1)
    Peers.origins().publishAll(service);
}

Awaitable<void> Gateway::publishOriginsInOutages() {
  bool wasOutage = false;
  for (;;) {
    co_await sleepFor(OutageCheckInterval);
    bool isOutage = isOutageLikely(Watch.serversAge());
    if (isOutage && !wasOutage)
      for (const std::string &it : Versions.services())
        Peers.origins().publishAll(it);
    wasOutage = isOutage;
  }
}

void Gateway::recordServerChange(const fleet::Server &server,
                                 std::string_view change) {
  const std::string &service = server.Entry.Service;
  publishOrigins(service);
  Metrics.count("sardineford_server_changes_total",
                {{"service", server.Entry.Service}});
  log::event(Category::Fleet, log::Level::Info, "server",
             {{"server", server.Entry.Id},
              {"service", server.Entry.Service},
              {"address", http::toString(server.Entry.Address)},
              {"change", change},
              {"software_version", server.Entry.SoftwareVersion},
              {"started_ms", server.Entry.StartedMs},
              {"leaving", server.Leaving},
              {"list_age_ms", Watch.serversAge().count()}});
}

void Gateway::registerGauges() {
  Metrics.gauge("sardineford_ready", {},
                [this] { return isReady() ? 1.0 : 0.0; });
  Metrics.gauge("sardineford_open_requests", {}, [this] {
    return static_cast<double>(RequestServer->openRequests());
  });
  Metrics.gauge("sardineford_caller_memory_bytes", {},
                [this] { return static_cast<double>(CallerMemory->held()); });
  Metrics.gauges("sardineford_connections", [this] {
    auto count = [](const http::Server &server) {
      return static_cast<double>(server.connections());
    };
    return metrics::Metrics::Family{
        {{{"listener", "callers"}}, count(*RequestServer)},
        {{{"listener", "peers"}}, count(*PeerServer)},
        {{{"listener", "readiness"}}, count(*ReadinessServer)},
        {{{"listener", "metrics"}}, count(*MetricsServer)}};
  });
}

void Gateway::recordCallerRejection(std::string_view reason) {
  Metrics.count("sardineford_caller_rejections_total",
                {{"reason", std::string(reason)}});
  ++CallerRejections;
  MonoTime now = MonoClock::now();
  if (now - RejectionsLoggedAt < RejectionLogInterval)
    return;
  log::event(Category::Http, log::Level::Warning, "callers_rejected",
             {{"reason", reason},
              {"rejections", CallerRejections - LoggedRejections},
              {"memory_bytes", CallerMemory->held()},
              {"connections", RequestServer->connections()}});
  RejectionsLoggedAt = now;
  LoggedRejections = CallerRejections;
}

void Gateway::start() {
  http::InstanceSize instance = instanceSizeOf(Options);
  std::optional<size_t> memory = http::callerMemoryLimit(
      static_cast<uint64_t>(Options.get(CallerMemoryBytes)), instance);
  std::optional<size_t> connections = http::callerConnectionLimit(
      static_cast<uint64_t>(Options.get(MaxConnections)), instance);
  if (memory && mallopt(M_MMAP_THRESHOLD, ReturnedBlockBytes) == 0)
    log::warn(Category::Http, "freed memory may not be returned to the system");
  CallerMemory = std::make_shared<http::ReceiveMemory>(
      memory.value_or(std::numeric_limits<size_t>::max()),
      [this](const http::GivenUpShare & /*share*/) {
        recordCallerRejection("memory");
      });
  auto startServer = [&](const std::string &address, size_t reserved,
                         http::Handler handler) {
    http::ServerOptions o;
    o.Listen = http::parseEndpoint(address);
    o.Memory = CallerMemory;
    if (connections)
      o.MaxConnections = reserved > 0 ? reserved : *connections;
    o.OnRejected = [this](std::string_view reason) {
      recordCallerRejection(reason);
    };
    auto server = std::make_unique<http::Server>(Io, o, std::move(handler));
    server->start();
    return server;
  };
  RequestServer =
      startServer(Options.get(node::HttpListen), 0,
                  [this](http::Request &r, http::ResponseWriter &out) {
                    return handle(r, out, false);
                  });
  PeerServer = startServer(Options.get(PeerListen), PeerConnections,
                           [this](http::Request &r, http::ResponseWriter &out) {
                             return handle(r, out, true);
                           });
  ReadinessServer =
      startServer(Options.get(ReadinessListen), ReadinessConnections,
                  [this](http::Request &r, http::ResponseWriter &out) {
                    return respondReadiness(r, out);
                  });
  MetricsServer =
      startServer(Options.get(MetricsListen), MetricsConnections,
                  [this](http::Request &r, http::ResponseWriter &out) {
                    return respondMetrics(r, out);
                  });
  Watch.start();
  Versions.start();
  Peers.start();
  if (Duties) {
    Duties->start();
    log::event(Category::Gateway, log::Level::Info, "duties",
               {{"endpoint", Options.get(duties::DutyEndpoint)},
                {"names", Options.get(duties::DutyNames)},
                {"fencing_checked", Options.get(duties::FencingChecked)}});
  }
  spawn(Io, "stop", [this] { return stopOnSignal(); });
  spawn(Io, "connection-limits",
        [this] { return keepConnectionLimits(Shared); });
  spawn(Io, "publish-origins", [this] { return publishOriginsInOutages(); });
  spawn(Io, "event-loop-lag", [this] { return measureEventLoopLag(Metrics); });
  log::event(Category::Gateway, log::Level::Info, "started",
             {{"listen", Options.get(node::HttpListen)},
              {"failure_domain", Options.get(node::FailureDomain)},
              {"platform", Options.get(node::Platform)}});
}

void Gateway::applySettings() { Shared.setRetryBounds(retryBoundsOf(Options)); }

void Gateway::applyConfiguration() {
  applyLimits();
  for (const std::string &it : Versions.services())
    if (Watch.routeHistory().sharesStreams(it, MonoClock::now()))
      Peers.origins().publishAll(it);
  Versions.setServices(fleet::resumableServices(Watch.routes()->config()));
}

void Gateway::applyLimits() {
  const fleet::CallerLimits &limits = Watch.routes()->config().Limits;
  for (http::Server *it : {RequestServer.get(), PeerServer.get()})
    it->setLimits(limits.MaxHeaderBytes, limits.MaxBodyBytes,
                  limits.ReadTimeout, limits.IdleTimeout);
}

Milliseconds Gateway::stopGrace() const {
  return toMilliseconds(Seconds(Options.get(StopGrace)));
}

MonoTime Gateway::stopAnswersAt() const {
  return StopRequestedAt + stopAnswerTime(stopGrace());
}

Milliseconds Gateway::typicalDuration(const fleet::Route &route) {
  if (route.Kind == fleet::RequestKind::Stream)
    return route.Objective +
           toMilliseconds(Shared.RouteStates[route.Name].MeanStreamDuration);
  Seconds longest{0};
  for (const fleet::Target &it : route.Targets)
    longest = std::max(longest, Shared.service(it.Service).MeanResponseTime);
  return toMilliseconds(longest);
}

bool Gateway::rejectsWhileStopping(const fleet::Route &route) {
  if (!Stopping)
    return false;
  return stopsBeforeResponse(
      {toMilliseconds(MonoClock::now() - StopRequestedAt),
       stopAnswerTime(stopGrace()), route.Timeout, typicalDuration(route)});
}

void Gateway::endOpenRequests() {
  MonoTime now = MonoClock::now();
  for (RequestContext *it : OpenContexts) {
    it->Deadline = std::min(it->Deadline, now);
    abortAttempts(*it);
  }
}

bool Gateway::isReady() const { return !Stopping && Watch.isLoaded(); }

Awaitable<void> Gateway::respondReadiness(http::Request &request,
                                          http::ResponseWriter &out) {
  bool ready = isReady();
  if (ready != WasReady)
    log::event(Category::Gateway, log::Level::Info, "readiness",
               {{"ready", ready},
                {"stopping", Stopping},
                {"configuration_age_ms", Watch.configurationAge().count()},
                {"servers_age_ms", Watch.serversAge().count()}});
  WasReady = ready;
  bool isReadinessPath =
      http::pathOf(request.Target) == Protocol.readinessPath();
  http::Response r = http::jsonResponse(
      !isReadinessPath ? http::StatusNotFound
                       : (ready ? 200 : http::StatusUnavailable),
      "{}");
  co_await out.send(std::move(r));
}

Awaitable<void> Gateway::respondMetrics(http::Request & /*request*/,
                                        http::ResponseWriter &out) {
  http::Response r;
  r.Fields.add("Content-Type", "text/plain; version=0.0.4");
  r.Body = Metrics.render();
  co_await out.send(std::move(r));
}

Awaitable<void> Gateway::rejectRequest(const CallerRequest &request,
                                       http::ResponseWriter &out,
                                       unsigned status, std::string detail,
                                       bool isPassedOn) {
  Metrics.count("sardineford_requests_total",
                {{"route", "none"}, {"status", std::to_string(status)}});
  if (!isPassedOn)
    countForWorkspace(request.Workspace, status);
  uint64_t version = Watch.routes() ? Watch.routes()->config().Version : 0;
  Milliseconds stoppingFor{0};
  if (Stopping)
    stoppingFor = toMilliseconds(MonoClock::now() - StopRequestedAt);
  log::event(Category::Gateway, log::Level::Info, "request",
             {{"request", request.Id},
              {"host", request.Host},
              {"path", http::pathOf(request.Target)},
              {"status", status},
              {"outcome", detail},
              {"configuration_version", version},
              {"configuration_age_ms", Watch.configurationAge().count()},
              {"stopping_for_ms", stoppingFor.count()}});
  std::optional<Milliseconds> retryAfter;
  if (status == http::StatusUnavailable)
    retryAfter = jittered(Stopping ? RetryAfterStopping : RetryAfterNotReady);
  http::Response response =
      Protocol.makeErrorResponse(status, request, detail, retryAfter);
  if (isPassedOn)
    response.Fields.add(std::string(TryOtherPeerHeader), "1");
  co_await out.send(std::move(response));
}

std::string_view Gateway::findPassOnObstacle(const std::string &service) {
  if (Stopping)
    return "the process is stopping";
  if (PeerServer->openRequests() > MaxOpenPassedOn)
    return "too many requests of peers are open";
  if (Shared.service(service).Reach.isCutOff())
    return "this process cannot reach the backend servers either";
  return "";
}

size_t Gateway::openRequests() const {
  return RequestServer->openRequests() + PeerServer->openRequests();
}

Awaitable<void> Gateway::handle(http::Request &request,
                                http::ResponseWriter &out, bool isPassedOn) {
  CallerRequest r;
  std::string error;
  try {
    r = isPassedOn ? Protocol.decodePassedOnRequest(std::move(request))
                   : Protocol.decodeRequest(std::move(request));
  } catch (const Error &e) {
    error = e.what();
  }
  if (!error.empty()) {
    co_await rejectRequest(r, out, http::StatusBadRequest, error, isPassedOn);
    co_return;
  }
  co_await serve(std::move(r), out, isPassedOn);
}

Awaitable<void> Gateway::serve(CallerRequest request, http::ResponseWriter &out,
                               bool isPassedOn) {
  std::shared_ptr<const fleet::RouteTable> routes = Watch.routes();
  if (!routes) {
    co_await rejectRequest(request, out, http::StatusUnavailable,
                           "no configuration has been loaded yet", isPassedOn);
    co_return;
  }
  if (request.PeerConfigurationVersion > routes->config().Version) {
    co_await rejectRequest(request, out, http::StatusUnavailable,
                           "this process has an older configuration than the "
                           "peer that passes the request on",
                           isPassedOn);
    co_return;
  }
  const fleet::Route *route =
      routes->find(request.Host, http::pathOf(request.Target));
  if (!route) {
    co_await rejectRequest(request, out, http::StatusNotFound,
                           "no route for this host and path", isPassedOn);
    co_return;
  }
  const fleet::Workspace *workspace = nullptr;
  if (routes->config().requiresKeys()) {
    if (request.Key && !route->Anonymous)
      workspace = routes->workspaces().find(*request.Key);
    Protocol.removeCredentials(request);
    if (!workspace && !route->Anonymous) {
      co_await rejectRequest(request, out, http::StatusUnauthorized, UnknownKey,
                             isPassedOn);
      co_return;
    }
    if (workspace)
      request.Workspace = workspace->Name;
    separateParts(request);
  }
  if (rejectsWhileStopping(*route)) {
    co_await rejectRequest(
        request, out, http::StatusUnavailable,
        "the process is stopping and may exit before the response is complete",
        isPassedOn);
    co_return;
  }
  MonoTime now = MonoClock::now();
  Milliseconds timeout = route->Timeout;
  if (request.RemainingTime)
    timeout = std::min(timeout, *request.RemainingTime);
  auto context = std::make_shared<RequestContext>(
      RequestContext{std::move(request), routes, route,
                     fleet::pickService(*route, Shared.Random), workspace, now,
                     now + timeout, out});
  context->RepeatsHash = hashOfRepeats(context->Request);
  context->IsPassedOn = isPassedOn;
  if (isPassedOn) {
    std::string obstacle(findPassOnObstacle(context->Service));
    if (!obstacle.empty()) {
      co_await rejectRequest(context->Request, out, http::StatusUnavailable,
                             obstacle, isPassedOn);
      co_return;
    }
  } else {
    // The peer that passes a request on has counted it.
    Shared.service(context->Service).RetryBudget.recordRequest(now);
  }
  out.onPeerDisconnected([weak = std::weak_ptr<RequestContext>(context)] {
    std::shared_ptr<RequestContext> locked = weak.lock();
    if (!locked)
      return;
    locked->CallerGone = true;
    abortAttempts(*locked);
  });
  OpenContext openContext(OpenContexts, *context);
  bool failed = false;
  try {
    if (route->Kind == fleet::RequestKind::Stream)
      co_await serveStream(Shared, *context);
    else
      co_await servePlain(Shared, *context);
  } catch (const boost::system::system_error &e) {
    // The response could not be written because the caller has disconnected.
    context->CallerGone = true;
    context->Outcome = e.what();
  } catch (const std::exception &e) {
    failed = true;
    context->Outcome = e.what();
    log::event(Category::Gateway, log::Level::Error, "request_error",
               {{"request", context->Request.Id},
                {"error", std::string_view(e.what())}});
  }
  if (failed) {
    std::string detail = context->Outcome;
    co_await failRequest(Shared, *context, FailureCause::Failed,
                         std::move(detail), std::nullopt);
  }
  logRequest(*context);
}

void Gateway::countForWorkspace(const std::string &workspace, unsigned status) {
  if (status == http::StatusUnauthorized && workspace.empty())
    Metrics.count("sardineford_unauthorized_total", {});
  if (workspace.empty())
    return;
  metrics::Labels labels = {{"workspace", WorkspaceLabel.valueFor(workspace)}};
  Metrics.count("sardineford_workspace_requests_total", labels);
  if (status == http::StatusUnavailable ||
      status == http::StatusTooManyRequests)
    Metrics.count("sardineford_workspace_rejections_total", labels);
}

void Gateway::logRequest(const RequestContext &context) {
  if (!context.IsPassedOn)
    countForWorkspace(context.Request.Workspace, context.Status);
  MonoTime now = MonoClock::now();
  std::string attempts;
  for (const Attempt &it : context.Attempts.all())
    attempts += (attempts.empty() ? "" : ",") + it.Server + ":" +
                std::string(toString(it.Outcome));
  std::string outcome = context.CallerGone ? "caller gone" : context.Outcome;
  std::string_view detail;
  if (context.CallerGone)
    detail = context.Outcome;
  bool isCompleteStream = context.Route->Kind == fleet::RequestKind::Stream &&
                          context.Status == http::StatusOk &&
                          !context.CallerGone;
  std::string_view missed;
  if (isCompleteStream)
    missed = missedObjective(
        {context.TimeToFirstByte, context.LongestPause},
        {context.Route->Objective, context.Route->GapObjective});
  log::event(Category::Gateway, log::Level::Info, "request",
             {{"request", context.Request.Id},
              {"route", context.Route->Name},
              {"service", context.Service},
              {"workspace", context.Request.Workspace},
              {"parts", sharedPartNames(context.Request)},
              {"request_key",
               fmt::format("{:x}", context.RepeatsHash & ~fleet::RequestBit)},
              {"kind", fleet::toString(context.Route->Kind)},
              {"prompt_tokens", context.Request.PromptTokens},
              {"most_output_tokens", context.Request.MaxOutputTokens},
              {"stream", context.Request.StreamId},
              {"resume_after", context.Request.ResumeAfter.value_or(0)},
              {"events", context.EventCount},
              {"status", context.Status},
              {"outcome", outcome},
              {"detail", detail},
              {"first_byte_ms", context.TimeToFirstByte.count()},
              {"longest_pause_ms", context.LongestPause.count()},
              {"missed_objective", missed},
              {"took_ms", context.elapsed().count()},
              {"left_ms", context.remainingTime().count()},
              {"sends", attempts},
              {"counted_calls", context.Attempts.countedCalls()},
              {"passed_on", context.IsPassedOn},
              {"most_attempts", context.Route->MaxAttempts},
              {"not_repeated", context.NoRetryReason},
              {"passed_over", context.PassedOver},
              {"budget_left",
               Shared.service(context.Service).RetryBudget.remaining(now)},
              {"budget_processes", Shared.Processes},
              {"configuration_version", context.Routes->config().Version},
              {"servers_age_ms", Watch.serversAge().count()}});
  Metrics.count(
      "sardineford_requests_total",
      {{"route", context.Route->Name},
       {"status",
        context.CallerGone ? "gone" : std::to_string(context.Status)}});
  if (context.Status == http::StatusOk &&
      context.TimeToFirstByte >= Milliseconds(0))
    Metrics.observe("sardineford_first_byte_seconds",
                    {{"route", context.Route->Name}},
                    Seconds(context.TimeToFirstByte));
  if (isCompleteStream)
    Metrics.observe("sardineford_longest_pause_seconds",
                    {{"route", context.Route->Name}},
                    Seconds(context.LongestPause));
  if (!missed.empty())
    Metrics.count(
        "sardineford_objectives_missed_total",
        {{"route", context.Route->Name}, {"by", std::string(missed)}});
  Metrics.observe(
      "sardineford_request_seconds",
      {{"route", context.Route->Name},
       {"answered", context.Status == http::StatusOk ? "yes" : "no"}},
      Seconds(context.elapsed()));
}

Awaitable<void> Gateway::stopOnSignal() {
  boost::asio::signal_set signals(Io, SIGTERM, SIGINT);
  co_await signals.async_wait(boost::asio::use_awaitable);
  MonoTime start = MonoClock::now();
  Stopping = true;
  StopRequestedAt = start;
  if (Duties)
    Duties->stop();
  RequestServer->closeAfterResponses();
  PeerServer->closeAfterResponses();
  log::event(Category::Gateway, log::Level::Info, "stopping",
             {{"open_requests", openRequests()}});
  spawn(Io, "final-answers", [this]() -> Awaitable<void> {
    co_await sleepFor(stopAnswersAt() - MonoClock::now());
    log::event(Category::Gateway, log::Level::Info, "final_answers",
               {{"open_requests", openRequests()}});
    endOpenRequests();
    RequestServer->stopReceiving();
    PeerServer->stopReceiving();
  });
  MonoTime end = stopAnswersAt() + FinalAnswerTime;
  co_await sleepFor(std::min<MonoClock::duration>(BalancerNoticeTime,
                                                  end - MonoClock::now()));
  while (MonoClock::now() < end && openRequests() > 0)
    co_await sleepFor(DrainPollInterval);
  RequestServer->stopAccepting();
  PeerServer->stopAccepting();
  MonoTime idleSince = MonoClock::now();
  while (MonoClock::now() < end &&
         MonoClock::now() - idleSince < IdleTimeBeforeExit) {
    co_await sleepFor(DrainPollInterval);
    if (openRequests() > 0 || (Duties && !Duties->isStopped()))
      idleSince = MonoClock::now();
  }
  if (Duties)
    Duties->sendCounts();
  log::event(Category::Gateway, log::Level::Info, "stopped",
             {{"open_requests", openRequests()},
              {"took_ms", toMilliseconds(MonoClock::now() - start).count()}});
  Io.stop();
}

} // namespace sardineford::gateway
