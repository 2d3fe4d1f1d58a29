#pragma once

#include "Duties/DutyRunner.h"
#include "Fleet/FleetWatch.h"
#include "Fleet/VersionRecorder.h"
#include "Gateway/State.h"
#include "Peers/LoadExchange.h"
#include "Sardineford/Fleet/FleetCodec.h"
#include "Sardineford/Metrics/BoundedLabel.h"
#include "Sardineford/Settings/Settings.h"

namespace sardineford::gateway {

/// Maximum number of workspaces with a series of their own in each metric, and
/// "other".
inline constexpr size_t MaxWorkspaceSeries = 50;

/// Data path of one instance: accepts caller requests, finds their routes and
/// forwards them to backend servers.
class Gateway {
public:
  Gateway(IoContext &io, const settings::Settings &settings,
          store::ObjectStore &store, const fleet::FleetCodec &codec,
          const BackendProtocol &protocol);

  /// Takes part in the duties of the deployment if the settings name any. To be
  /// called before start().
  void setDuties(store::ObjectStore &store, duties::DutyApi &api);

  void start();
  void applySettings();

private:
  /// Serves a request of a caller, or one that a peer has passed on.
  Awaitable<void> handle(http::Request &request, http::ResponseWriter &out,
                         bool isPassedOn);
  Awaitable<void> serve(CallerRequest request, http::ResponseWriter &out,
                        bool isPassedOn);
  Awaitable<void> respondReadiness(http::Request &request,
                                   http::ResponseWriter &out);
  Awaitable<void> respondMetrics(http::Request &request,
                                 http::ResponseWriter &out);
  /// Rejects a request before its first attempt.
  Awaitable<void> rejectRequest(const CallerRequest &request,
                                http::ResponseWriter &out, unsigned status,
                                std::string detail, bool isPassedOn);
  /// Returns why a request that a peer passes on is not accepted, or an empty
  /// string if it is.
  std::string_view findPassOnObstacle(const std::string &service);
  /// Number of requests of callers and peers without a complete response.
  size_t openRequests() const;
  Awaitable<void> stopOnSignal();
  void applyConfiguration();
  void applyLimits();
  bool isReady() const;
  Milliseconds stopGrace() const;
  /// Time at which all open requests of the stopping process get their final
  /// answer.
  MonoTime stopAnswersAt() const;
  /// Time in which a response on the route is complete usually.
  Milliseconds typicalDuration(const fleet::Route &route);
  /// Returns whether the process is stopping and may exit before a response on
  /// the route is complete.
  bool rejectsWhileStopping(const fleet::Route &route);
  /// Lets all open requests time out now, so that each caller learns whether
  /// its request may have been executed.
  void endOpenRequests();
  /// Counts a request at the process that the caller sent it to.
  void countForWorkspace(const std::string &workspace, unsigned status);
  void logRequest(const RequestContext &context);
  void registerGauges();
  /// Counts a rejection of a caller outside the limits, and logs the number of
  /// rejections at a bounded rate.
  void recordCallerRejection(std::string_view reason);
  /// Returns what this process knows of the versions at which streams of a
  /// service, by its hashOfService, can have begun; empty if it cannot tell.
  std::optional<peers::VersionView> versionView(uint64_t service) const;
  /// Tells the peers where the streams of a service began once it has several
  /// versions.
  void publishOrigins(const std::string &service);
  /// The same for all services at the begin of each outage of the store.
  Awaitable<void> publishOriginsInOutages();
  /// Counts and logs a change of the list of servers.
  void recordServerChange(const fleet::Server &server, std::string_view change);

  IoContext &Io;
  const settings::Settings &Options;
  const BackendProtocol &Protocol;
  metrics::Metrics Metrics;
  metrics::BoundedLabel WorkspaceLabel{MaxWorkspaceSeries};
  http::Client Client;
  fleet::Directory Servers;
  fleet::FleetWatch Watch;
  fleet::VersionRecorder Versions;
  peers::LoadExchange Peers;
  SharedState Shared;
  /// Empty without duties.
  std::unique_ptr<duties::DutyRunner> Duties;
  /// Memory that callers and peers make this process hold.
  std::shared_ptr<http::ReceiveMemory> CallerMemory;
  uint64_t CallerRejections = 0;
  uint64_t LoggedRejections = 0;
  MonoTime RejectionsLoggedAt{};
  std::unique_ptr<http::Server> RequestServer;
  /// Accepts requests of peers that cannot reach the backend servers.
  std::unique_ptr<http::Server> PeerServer;
  std::unique_ptr<http::Server> ReadinessServer;
  std::unique_ptr<http::Server> MetricsServer;
  /// Requests that are being served.
  std::set<RequestContext *> OpenContexts;
  bool Stopping = false;
  MonoTime StopRequestedAt{};
  bool WasReady = false;
};

} // namespace sardineford::gateway
