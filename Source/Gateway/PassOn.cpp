#include "Gateway/PassOn.h"

#include "Gateway/HealthCheck.h"
#include "Sardineford/Common/Log.h"
#include "Sardineford/Http/Status.h"
#include "Sardineford/Store/Write.h"

#include <algorithm>
#include <array>

namespace sardineford::gateway {

namespace {

using log::Category;

/// Delay between the probes of servers that cannot be reached. All processes
/// probe them if the servers are down and the links are not.
constexpr Milliseconds InitialProbeDelay{200};
constexpr Milliseconds MaxProbeDelay{1'500};

PassOnState stateOf(SharedState &shared, RequestContext &context,
                    bool isLastChance) {
  ServiceReach &reach = shared.service(context.Service).Reach;
  reach.removeUnknown([&](const std::string &it) {
    return shared.Servers.find(it) != nullptr;
  });
  PassOnState out;
  out.IsPassedOn = context.IsPassedOn;
  out.WasTried = context.PeersAsked > 0;
  out.NoneExecuted = context.Attempts.noneExecuted();
  out.IsCutOff = reach.isCutOff();
  out.UnreachableServers = reach.unreachableServers();
  out.UnsentAttempts = context.Attempts.unsentCount();
  out.IsLastChance = isLastChance;
  return out;
}

/// Probes one server of a service after the other until one responds.
Awaitable<void> probeServers(SharedState &shared, std::string service) {
  store::Backoff backoff(InitialProbeDelay, MaxProbeDelay);
  while (shared.service(service).Reach.isCutOff()) {
    co_await sleepFor(backoff.next());
    std::vector<fleet::ServerPtr> servers = shared.Servers.ofService(service);
    if (servers.empty())
      break;
    std::uniform_int_distribution<size_t> pick(0, servers.size() - 1);
    fleet::ServerPtr server = servers[pick(shared.Random)];
    HealthCheckResult result = co_await checkHealth(shared, server->Entry);
    if (result == HealthCheckResult::Healthy ||
        result == HealthCheckResult::Answered)
      recordContact(shared, *server);
  }
  ServiceReach &reach = shared.service(service).Reach;
  reach.IsProbed = false;
  log::event(Category::Gateway, log::Level::Info, "servers_reached_again",
             {{"service", service},
              {"unreachable_servers", reach.unreachableServers()}});
}

void startProbes(SharedState &shared, const std::string &service) {
  ServiceReach &reach = shared.service(service).Reach;
  if (!reach.isCutOff() || std::exchange(reach.IsProbed, true))
    return;
  log::event(Category::Gateway, log::Level::Info, "servers_out_of_reach",
             {{"service", service},
              {"unreachable_servers", reach.unreachableServers()}});
  spawn(shared.Io, "probe-servers",
        [&shared, service] { return probeServers(shared, service); });
}

enum class HopResult {
  /// The caller has received the response.
  Forwarded,
  /// The peer did not send the request to any server.
  Refused,
  /// The peer may have sent the request to a server.
  Lost,
};

std::string_view toString(HopResult r) {
  constexpr std::array<std::string_view, 3> Names = {"forwarded", "refused",
                                                     "lost"};
  return Names[static_cast<size_t>(r)];
}

void recordHop(SharedState &shared, const RequestContext &context,
               const http::Endpoint &peer, HopResult result) {
  // A response that breaks off after its begin says nothing against the peer.
  bool isServed = result == HopResult::Forwarded || context.Out.started();
  if (isServed)
    shared.PeersToAsk.recordServed(peer, MonoClock::now());
  else if (!context.CallerGone)
    shared.PeersToAsk.recordRefusal(peer, MonoClock::now());
  shared.Metrics.count("sardineford_passed_on_total",
                       {{"service", context.Service},
                        {"outcome", std::string(toString(result))}});
  ServiceReach &reach = shared.service(context.Service).Reach;
  log::event(Category::Gateway, log::Level::Info, "passed_on",
             {{"request", context.Request.Id},
              {"service", context.Service},
              {"peer", http::toString(peer)},
              {"unreachable_servers", reach.unreachableServers()},
              {"cut_off", reach.isCutOff()},
              {"took_ms", context.elapsed().count()},
              {"outcome", toString(result)}});
}

/// Forwards a stream whose head has been received.
Awaitable<void> forwardStream(RequestContext &context, http::Response head,
                              http::ResponseStream &response) {
  co_await context.Out.startStream(std::move(head));
  for (;;) {
    std::string part = co_await response.read(context.remainingTime());
    if (part.empty())
      break;
    co_await context.Out.write(std::move(part));
  }
  co_await context.Out.finish();
}

/// Forwards another response when it is complete.
Awaitable<void> forwardWhole(SharedState &shared, RequestContext &context,
                             http::Response head,
                             http::ResponseStream &response) {
  head.Body = co_await http::readBody(response, shared.Client.receiveMemory(),
                                      context.Deadline);
  co_await context.Out.send(std::move(head));
}

Awaitable<void> forwardResponse(SharedState &shared, RequestContext &context,
                                http::ResponseStream &response) {
  bool isStream = shared.Protocol.decodeHead(response.head()).IsEventStream;
  http::Response head = shared.Protocol.makeCallerResponse(response.head());
  context.Status = head.Status;
  context.TimeToFirstByte = context.elapsed();
  if (isStream)
    co_await forwardStream(context, std::move(head), response);
  else
    co_await forwardWhole(shared, context, std::move(head), response);
}

Awaitable<HopResult> askPeer(SharedState &shared, RequestContext &context,
                             http::Endpoint peer) {
  http::Request request = shared.Protocol.makePassedOnRequest(
      context.Request, context.remainingTime(),
      context.Routes->config().Version);
  http::CallOptions options = attemptCallOptions(
      context, peer, context.Route->mayRepeat(), context.remainingTime());
  try {
    std::unique_ptr<http::ResponseStream> response =
        co_await shared.Client.send(peer, std::move(request),
                                    std::move(options));
    co_await response->receiveHead(
        std::max(context.remainingTime(), Milliseconds(1)));
    ResponseHead head = shared.Protocol.decodeHead(response->head());
    bool isOther = head.RequestId && *head.RequestId != context.Request.Id;
    if (isOther) {
      response->close();
      co_return HopResult::Lost;
    }
    if (response->head().Fields.find(TryOtherPeerHeader)) {
      response->close();
      co_return HopResult::Refused;
    }
    bool isRejection =
        !head.Signed && response->head().Status == http::StatusUnavailable;
    co_await forwardResponse(shared, context, *response);
    context.Outcome =
        isRejection ? "rejected by a peer" : "answered through a peer";
    co_return HopResult::Forwarded;
  } catch (const http::TransportError &e) {
    bool isUnsent = e.Stage == http::TransportStage::NothingSent;
    context.Outcome = e.what();
    co_return isUnsent ? HopResult::Refused : HopResult::Lost;
  }
}

} // namespace

Awaitable<bool> passOnIfCutOff(SharedState &shared, RequestContext &context,
                               bool isLastChance) {
  startProbes(shared, context.Service);
  if (context.Out.started() ||
      !shouldPassOn(stateOf(shared, context, isLastChance)) ||
      !shared.PeersToAsk.mayAsk(context.Service, MonoClock::now()))
    co_return false;
  if (!acquireRetry(shared, context))
    co_return false;
  std::set<http::Endpoint> asked;
  HopResult result = HopResult::Refused;
  while (result == HopResult::Refused && context.PeersAsked < MaxPeersAsked &&
         !context.CallerGone && context.remainingTime() > Milliseconds(0)) {
    std::optional<http::Endpoint> peer = shared.PeersToAsk.choose(
        shared.RunningPeers(), asked, MonoClock::now(), shared.Random);
    if (!peer)
      break;
    ++context.PeersAsked;
    asked.insert(*peer);
    result = co_await askPeer(shared, context, *peer);
    recordHop(shared, context, *peer, result);
  }
  if (result == HopResult::Refused)
    shared.PeersToAsk.recordFailure(context.Service, MonoClock::now());
  if (result != HopResult::Lost)
    co_return result == HopResult::Forwarded;
  // The peer may have sent the request to a server.
  context.Attempts.add("peer");
  if (context.Out.started())
    context.Out.abort();
  else
    co_await failRequest(shared, context,
                         context.remainingTime() > Milliseconds(0)
                             ? FailureCause::Failed
                             : FailureCause::TimedOut,
                         "the peer that the request was passed on to did not "
                         "respond",
                         std::nullopt);
  co_return true;
}

} // namespace sardineford::gateway
