#pragma once

#include "Fleet/FleetWatch.h"
#include "Gateway/State.h"
#include "Peers/LoadExchange.h"
#include "Sardineford/Fleet/FleetCodec.h"
#include "Sardineford/Settings/Settings.h"

namespace sardineford::gateway {

/// Data path of one instance: accepts caller requests, finds their routes and
/// forwards them to backend servers.
class Gateway {
public:
  Gateway(IoContext &io, const settings::Settings &settings,
          store::ObjectStore &store, const fleet::FleetCodec &codec,
          const BackendProtocol &protocol);

  void start();
  void applySettings();

private:
  Awaitable<void> handle(http::Request &request, http::ResponseWriter &out);
  Awaitable<void> serve(CallerRequest request, http::ResponseWriter &out);
  Awaitable<void> respondReadiness(http::Request &request,
                                   http::ResponseWriter &out);
  Awaitable<void> respondMetrics(http::Request &request,
                                 http::ResponseWriter &out);
  /// Rejects a request before its first attempt.
  Awaitable<void> rejectRequest(const CallerRequest &request,
                                http::ResponseWriter &out, unsigned status,
                                std::string detail);
  Awaitable<void> stopOnSignal();
  void applyLimits();
  bool isReady() const;
  Milliseconds stopGrace() const;
  /// Returns whether the stopping process may exit before a response on the
  /// route is complete.
  bool stopsBeforeTimeout(const fleet::Route &route) const;
  void logRequest(const RequestContext &context);
  void registerGauges();
  /// Counts and logs a change of the list of servers.
  void recordServerChange(const fleet::Server &server, std::string_view change);

  IoContext &Io;
  const settings::Settings &Options;
  const BackendProtocol &Protocol;
  metrics::Metrics Metrics;
  http::Client Client;
  fleet::Directory Servers;
  fleet::FleetWatch Watch;
  peers::LoadExchange Peers;
  SharedState Shared;
  std::unique_ptr<http::Server> RequestServer;
  std::unique_ptr<http::Server> ReadinessServer;
  std::unique_ptr<http::Server> MetricsServer;
  bool Stopping = false;
  MonoTime StopRequestedAt{};
  bool WasReady = false;
};

} // namespace sardineford::gateway
