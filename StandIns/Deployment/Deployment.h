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

/// Engines or instances of one group and how many of them.
struct GroupSetup {
  std::string Group;
  int Count = 1;
};

struct DeploymentOptions {
  /// Folder of the built programs.
  std::string Programs;
  /// Folder for settings, logs and histories; made anew.
  std::string Folder;
  /// File with the objects to apply.
  std::string ObjectsFile;
  std::vector<std::string> FailureDomains = {"a", "b", "c"};
  int Entries = 2;
  int Controllers = 2;
  std::vector<GroupSetup> Engines;
  std::vector<GroupSetup> Services;
  /// Engines in the prefill role at their start, for each pool.
  int InitialPrefill = 1;
  bool EnginesCheckFencing = true;
  double TimeScale = 1;
  Milliseconds ReportLag{200};
  Milliseconds RoleChangeTime{4'000};
  Milliseconds ListLag{500};
  /// Puts a relay before each engine, entry, controller and store link.
  bool UseRelays = false;
  bool WriteHistories = true;
  /// Settings of every entry and controller, by key, such as "plan.lease_ms".
  std::map<std::string, std::string> Settings;
};

/// A whole system of real processes on loopback.
class Deployment {
public:
  explicit Deployment(DeploymentOptions options);
  ~Deployment();

  /// Starts everything, applies the objects and waits until all are ready.
  void start();
  /// Ends everything, gracefully first.
  void stop();

  Process &process(const std::string &name) { return *Processes.at(name); }
  bool has(const std::string &name) const { return Processes.contains(name); }
  /// Starts a process anew after it was killed.
  void restart(const std::string &name);

  /// Addresses for callers and operators.
  http::Endpoint httpEndpoint(const std::string &name) const;
  http::Endpoint platform() const { return PlatformAddress; }
  std::vector<std::string> entries() const;
  std::vector<std::string> controllers() const;
  std::vector<std::string> engines() const;
  std::vector<std::string> services() const;

  /// Posts to the admin page of a stand-in.
  void admin(const std::string &name, const std::string &json);
  void setStore(const std::string &json);
  void setInstance(const std::string &name, membership::InstanceState state);
  /// Changes the link towards a process; the deployment must have relays.
  void setLink(const std::string &name, const std::string &json);
  /// Changes the link from a process to the store.
  void setStoreLink(const std::string &name, const std::string &json);
  bool waitReady(int milliseconds);
  bool isReady(const std::string &name);

  const DeploymentOptions &options() const { return Options; }

private:
  struct Node {
    membership::Instance Listed;
    http::Endpoint Own;
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
  const std::string &domainFor(size_t i) const;

  DeploymentOptions Options;
  http::Endpoint PlatformAddress;
  std::vector<std::string> StartOrder;
  std::map<std::string, std::unique_ptr<Process>> Processes;
  std::map<std::string, Node> Nodes;
  std::map<std::string, http::Endpoint> RelayAdmins;
};

/// A free port on loopback.
http::Endpoint freeEndpoint();

/// A new empty folder among the temporary ones.
std::string makeTemporaryFolder();

/// One call, with a thread of control of its own.
http::Response callBlocking(const http::Endpoint &to, http::Request request,
                            Milliseconds timeout);

} // namespace sardineford::standins
