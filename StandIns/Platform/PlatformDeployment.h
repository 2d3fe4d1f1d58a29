#pragma once

#include "Sardineford/Http/Client.h"
#include "StandIns/Deployment/Process.h"
#include "StandIns/Platform/PlatformWorker.h"
#include "StandIns/Relay/Relay.h"

#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace sardineford::standins {

/// Maximum time from SIGTERM to the exit of a daemon, unless the options of the
/// deployment name another one.
inline constexpr std::chrono::seconds StopGrace{6};

struct PlatformDeploymentOptions {
  /// Folder of the built programs.
  std::string Programs;
  /// Folder for settings, logs and histories.
  std::string Folder;
  unsigned Daemons = 3;
  unsigned PlainServers = 2;
  unsigned PrefillEngines = 1;
  unsigned DecodeEngines = 3;
  /// Software versions at the start, dealt out to the engines in turn.
  std::vector<std::string> PrefillVersions = {"v1"};
  std::vector<std::string> DecodeVersions = {"v1"};
  /// Processing time of a request at a plain service.
  Milliseconds WorkTime{10};
  /// Time of one batch step of an engine, without its sequences.
  Milliseconds StepTime{4};
  /// Additional retries that the daemons together may make in ten seconds.
  double RetrySlack = 10;
  /// Time for which a draining backend server continues to accept requests.
  Milliseconds DrainTime{1'500};
  /// Id of a prompt part that crashes engines; empty for none.
  std::string CrashingPart;
  /// Path of requests that crash backend servers; empty for none.
  std::string CrashingPath;
  /// Named by the last decode engine.
  NamedLimit Limit;
  /// Value of `gateway.server_pace`.
  bool PacesServers = false;
  /// Maximum time from SIGTERM to the exit of a daemon.
  std::chrono::seconds DaemonStopGrace = StopGrace;
  /// Size of the instance that the settings of a daemon name; 0 for none.
  unsigned DaemonMemoryMb = 0;
  unsigned DaemonDescriptors = 0;
  /// Each pair of daemon and backend server has a relay of its own
  /// (DeployedDaemon::Links) before that of the server; MaxSeparateDaemons.
  bool SeparateLinks = false;
  /// Address of the interface for duties, with windows and leases of one
  /// second, and key of the only workspace; empty for none.
  std::string DutyEndpoint;
  std::string WorkspaceKey;
  /// Connections that a plain server accepts, also named in the configuration;
  /// 0 for no limit.
  unsigned MaxConnections = 0;
};

/// Name of the workspace of PlatformDeploymentOptions::WorkspaceKey.
inline constexpr const char *WorkspaceName = "workspace-1";

/// Most daemons of a deployment with SeparateLinks.
inline constexpr unsigned MaxSeparateDaemons = 8;

/// Path prefixes of the deployment's routes, by whether a request can be
/// retried or its stream resumed.
inline constexpr const char *OnceRoute = "/file/";
inline constexpr const char *RepeatableRoute = "/status/";
inline constexpr const char *ResumableRoute = "/draft/";
inline constexpr const char *StreamRoute = "/query/";
inline constexpr const char *DeploymentHost = "users.example";

/// Path prefix of an additional repeatable route.
std::string extraRoute(unsigned i);

/// One daemon and the relay between the daemon and the store.
struct DeployedDaemon {
  std::unique_ptr<Process> ChildProcess;
  std::unique_ptr<Relay> StoreLink;
  /// Relays to the backend servers, in the order of
  /// PlatformDeployment::Workers.
  std::vector<std::unique_ptr<Relay>> Links;
  http::Endpoint HttpListen;
  http::Endpoint Readiness;
  http::Endpoint Metrics;
};

/// One backend server and the relay between its callers and the server.
struct DeployedWorker {
  std::unique_ptr<Process> ChildProcess;
  std::unique_ptr<Relay> Link;
  std::string Id;
  std::string Service;
  std::string Stage;
  std::string Version;
  http::Endpoint Listen;
  http::Endpoint Advertise;
  /// Further flags of the process, from its next start.
  std::vector<std::string> Flags;
};

/// Starts the daemons and the stand-ins for the platform's store and backend
/// servers as processes on this machine, connected through relays.
class PlatformDeployment {
public:
  PlatformDeployment(IoContext &io, PlatformDeploymentOptions options);

  void start();
  /// Starts all processes, writes the configuration, waits until all daemons
  /// are ready, and then the time in which the backend servers register.
  /// Returns false if a daemon is not ready before the timeout.
  Awaitable<bool> bringUp(Milliseconds timeout);
  void startDaemon(DeployedDaemon &d);
  /// Starts the backend server under a new id, or under its old id with keepId.
  /// A release changes DeployedWorker::Version before.
  void startWorker(DeployedWorker &w, bool keepId);
  /// Writes a configuration with a higher version and with additional routes.
  Awaitable<void> writeConfiguration(unsigned extraRoutes);
  Awaitable<void> setStoreMode(std::string json);
  /// Lets another writer leave an odd entry among those of the backend servers
  /// (OddEntries.h).
  Awaitable<void> writeOddEntry(std::string name, size_t kind);
  /// Returns whether all daemons report readiness before the timeout.
  Awaitable<bool> waitReady(Milliseconds timeout);
  /// Keys by workspace, from the next written configuration; none to require no
  /// keys.
  std::vector<std::pair<std::string, std::vector<std::string>>> Workspaces;
  std::string historyFile() const { return Options.Folder + "/history.jsonl"; }

  std::vector<DeployedDaemon> Daemons;
  std::vector<DeployedWorker> Workers;

private:
  /// Makes a daemon reach the backend servers through relays of its own, at
  /// another address of this machine.
  void separateLinks(DeployedDaemon &d, size_t index);
  void addWorkers(unsigned n, const std::string &service,
                  const std::string &stage,
                  const std::vector<std::string> &versions);

  IoContext &Io;
  PlatformDeploymentOptions Options;
  http::Client Client;
  http::Endpoint Store;
  std::unique_ptr<Process> StoreProcess;
  uint64_t Version = 1;
  unsigned NextId = 1;
};

} // namespace sardineford::standins
