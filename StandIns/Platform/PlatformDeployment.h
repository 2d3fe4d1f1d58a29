#pragma once

#include "Sardineford/Http/Client.h"
#include "StandIns/Deployment/Process.h"
#include "StandIns/Relay/Relay.h"

#include <memory>
#include <random>
#include <string>
#include <vector>

namespace sardineford::standins {

struct PlatformDeploymentOptions {
  /// Folder of the programs, and one for settings, logs and histories.
  std::string Programs;
  std::string Folder;
  unsigned Daemons = 3;
  unsigned PlainServers = 2;
  unsigned PrefillEngines = 1;
  unsigned DecodeEngines = 3;
  /// Time of a plain call, of one step of an engine, and for which a backend
  /// server serves on after it said that it leaves.
  Milliseconds WorkTime{10};
  Milliseconds StepTime{4};
  Milliseconds DrainTime{1'500};
};

/// Time from SIGTERM in which a daemon must have ended.
inline constexpr std::chrono::seconds StopGrace{6};

/// Routes of the deployment, by what may be repeated.
inline constexpr const char *OnceRoute = "/file/";
inline constexpr const char *RepeatableRoute = "/status/";
inline constexpr const char *ResumableRoute = "/draft/";
inline constexpr const char *StreamRoute = "/query/";
inline constexpr const char *DeploymentHost = "users.example";

/// One daemon, and the link between it and the store.
struct DeployedDaemon {
  std::unique_ptr<Process> ChildProcess;
  std::unique_ptr<Relay> StoreLink;
  http::Endpoint HttpListen;
  http::Endpoint Readiness;
  http::Endpoint Metrics;
};

/// One backend server, and the link between it and its callers.
struct DeployedWorker {
  std::unique_ptr<Process> ChildProcess;
  std::unique_ptr<Relay> Link;
  std::string Id;
  std::string Service;
  std::string Stage;
  http::Endpoint Listen;
  http::Endpoint Advertise;
};

/// Real processes on this machine: the daemon, and stand-ins for the
/// platform's store and backend servers, joined by relays.
class PlatformDeployment {
public:
  PlatformDeployment(IoContext &io, PlatformDeploymentOptions options);

  void start();
  /// Starts everything, writes the configuration and waits until all daemons
  /// are ready and all backend servers listed. False when the time ends.
  Awaitable<bool> bringUp(Milliseconds most);
  void startDaemon(DeployedDaemon &d);
  /// Starts it, under a new id unless the old one is to be kept.
  void startWorker(DeployedWorker &w, bool keepId);
  /// Writes a configuration with the next version and so many routes beside
  /// the deployment's own.
  Awaitable<void> writeConfiguration(unsigned extraRoutes);
  Awaitable<void> setStoreMode(std::string json);
  /// Waits until every daemon says that it is ready. False when the time ends.
  Awaitable<bool> waitReady(Milliseconds most);
  std::string historyFile() const { return Options.Folder + "/history.jsonl"; }

  std::vector<DeployedDaemon> Daemons;
  std::vector<DeployedWorker> Workers;

private:
  void addWorkers(unsigned n, const std::string &service,
                  const std::string &stage);
  void writeSettings(const DeployedDaemon &d, const std::string &name);

  IoContext &Io;
  PlatformDeploymentOptions Options;
  http::Client Client;
  http::Endpoint Store;
  std::unique_ptr<Process> StoreProcess;
  uint64_t Version = 1;
  unsigned NextId = 1;
};

} // namespace sardineford::standins
