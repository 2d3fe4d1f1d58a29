#pragma once

#include "Fleet/FleetWatch.h"
#include "Gateway/State.h"
#include "Peers/LoadExchange.h"
#include "Sardineford/Fleet/FleetCodec.h"
#include "Sardineford/Settings/Settings.h"

namespace sardineford::gateway {

/// The data path of one instance: takes requests, finds their routes and has
/// backend servers answer them.
class Gateway {
public:
  Gateway(IoContext &io, const settings::Settings &settings,
          store::ObjectStore &store, const fleet::FleetCodec &codec,
          const BackendProtocol &protocol);

  void start();
  /// Takes over settings that have changed.
  void applySettings();

private:
  Awaitable<void> handle(http::Request &request, http::ResponseWriter &out);
  Awaitable<void> serve(CallerRequest request, http::ResponseWriter &out);
  Awaitable<void> respondReadiness(http::Request &request,
                                   http::ResponseWriter &out);
  Awaitable<void> respondMetrics(http::Request &request,
                                 http::ResponseWriter &out);
  Awaitable<void> rejectRequest(const CallerRequest &r,
                                http::ResponseWriter &out, unsigned status,
                                std::string detail);
  Awaitable<void> stopOnSignal();
  void applyLimits();
  bool isReady() const;
  Milliseconds stopGrace() const;
  /// The process ends before an answer on the route may be complete.
  bool stopsBeforeTimeout(const fleet::Route &route) const;
  void logRequest(const RequestContext &c);
  void registerGauges();
  void recordServerChange(const fleet::Server &s, std::string_view change);

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
