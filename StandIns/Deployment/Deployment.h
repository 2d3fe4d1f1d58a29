#pragma once

#include "Sardineford/Http/Message.h"
#include "Sardineford/Membership/InstanceList.h"
#include "StandIns/Deployment/Process.h"

#include <boost/json/object.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sardineford::standins {

/// Name and number of instances of a group, such as an engine pool.
struct GroupSetup {
  std::string Group;
  int Count = 1;
};

struct DeploymentOptions {
  /// Folder of the built programs.
  std::string Programs;
  /// Folder for settings, logs and histories; deleted and created again.
  std::string Folder;
  /// File with the objects to apply.
  std::string ObjectsFile;
  std::vector<std::string> FailureDomains = {"a", "b", "c"};
  int Entries = 2;
  int Controllers = 2;
  std::vector<GroupSetup> Engines;
  std::vector<GroupSetup> Services;
  /// Number of engines of each pool that start in the prefill role.
  int InitialPrefill = 1;
  bool EnginesCheckFencing = true;
  double TimeScale = 1;
  Milliseconds ReportLag{200};
  Milliseconds RoleChangeTime{4'000};
  Milliseconds ListLag{500};
  /// Puts a relay in front of each engine, service, entry and controller, and
  /// between the store and each entry and controller.
  bool UseRelays = false;
  bool WriteHistories = true;
  /// Settings of the entries and controllers, by key such as "plan.lease_ms".
  /// Entries get no plan.* and roles.* settings, controllers no entry.*
  /// settings. Values are JSON text.
  std::map<std::string, std::string> Settings;
};

/// A complete system of processes on the loopback address.
class Deployment {
public:
  explicit Deployment(DeploymentOptions options);
  ~Deployment();

  /// Starts all processes, applies the objects and waits until all entries and
  /// controllers are ready. Throws std::runtime_error on a timeout.
  void start();
  /// Stops all processes with SIGTERM, and with SIGKILL after a timeout.
  void stop();

  Process &process(const std::string &name) { return *Processes.at(name); }
  bool has(const std::string &name) const { return Processes.contains(name); }
  /// Kills a process and starts it again.
  void restart(const std::string &name);

  /// Endpoint of the HTTP interface for callers and operators.
  http::Endpoint httpEndpoint(const std::string &name) const;
  http::Endpoint platform() const { return PlatformAddress; }
  std::vector<std::string> entries() const;
  std::vector<std::string> controllers() const;
  std::vector<std::string> engines() const;
  std::vector<std::string> services() const;

  /// Posts to the /admin path of a stand-in.
  void admin(const std::string &name, const std::string &json);
  /// Changes the simulated faults of the store.
  void setStore(const std::string &json);
  void setInstance(const std::string &name, membership::InstanceState state);
  /// Changes the relay in front of a process; needs UseRelays.
  void setLink(const std::string &name, const std::string &json);
  /// Changes the relay between a process and the store; needs UseRelays.
  void setStoreLink(const std::string &name, const std::string &json);
  bool waitReady(int timeoutMs);
  bool isReady(const std::string &name);

  const DeploymentOptions &options() const { return Options; }

private:
  struct Node {
    /// Entry in the platform's list of instances.
    membership::Instance Entry;
    http::Endpoint Listen;
    http::Endpoint Http;
  };

  void addProcess(const std::string &name, const std::string &program,
                  std::vector<std::string> arguments);
  void addEngines(const GroupSetup &group);
  void addServices(const GroupSetup &group);
  void addNode(const std::string &name, membership::InstanceKind kind);
  std::string writeSettings(const std::string &name, const Node &n,
                            const http::Endpoint &platform);
  http::Endpoint addRelay(const std::string &name, const http::Endpoint &to);
  void registerInstance(const Node &n);
  void applyObjects();
  std::vector<std::string> namesOf(membership::InstanceKind kind) const;
  const std::string &failureDomainFor(size_t i) const;

  DeploymentOptions Options;
  http::Endpoint PlatformAddress;
  std::vector<std::string> StartOrder;
  std::map<std::string, std::unique_ptr<Process>> Processes;
  std::map<std::string, Node> Nodes;
  std::map<std::string, http::Endpoint> RelayAdmins;
};

/// Returns a loopback endpoint whose port is free for TCP and UDP.
http::Endpoint freeEndpoint();

/// Creates an empty folder in the temporary directory.
std::string makeTemporaryFolder();

/// Sends one request with an event loop of its own and blocks until the
/// response or the timeout. The status is 0 after an error.
http::Response callBlocking(const http::Endpoint &to, http::Request request,
                            Milliseconds timeout);

} // namespace sardineford::standins
