#include "StandIns/Deployment/Deployment.h"
#include "StandIns/Platform/PlatformCaller.h"
#include "StandIns/Platform/PlatformDeployment.h"
#include "StandIns/Platform/WorkerHistory.h"
#include "platform/Names.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>

using namespace sardineford;
using namespace sardineford::standins;

namespace {

constexpr Milliseconds StartTime{20'000};
constexpr Milliseconds Deadline{3'000};
/// Time from the store's acknowledgement until a configuration is in force.
constexpr Milliseconds ApplyTime{3'000};
/// Time in which a daemon accepts connections, before it has a configuration.
constexpr Milliseconds ListenTime{600};

const std::string KeptKey = "kept-42q492cqf75rjvz48wua";
const std::string RemovedKey = "removed-kn2ftimaj3nr26tta8";
const std::string AddedKey = "added-9dhs64nxk2m5qpwv7cbt";
const std::string SharedKey = "shared-x83ytq5zmn2vklc74hdr";
const std::string UnknownKey = "unknown-p5w8sd2k6mzqvt3xrnba";

using Keys = std::vector<std::string>;

// GCC 12 cannot compile initializer lists in coroutines.
const std::vector<std::pair<std::string, Keys>> WorkspacesBefore = {
    {"first", {KeptKey, RemovedKey, SharedKey}}, {"second", {SharedKey}}};
const std::vector<std::pair<std::string, Keys>> WorkspacesAfter = {
    {"first", {KeptKey}}, {"second", {AddedKey}}};
const std::vector<Keys> InvalidKeys = {{},
                                       {""},
                                       {UnknownKey},
                                       {SharedKey},
                                       {KeptKey, KeptKey},
                                       {KeptKey, RemovedKey},
                                       {KeptKey + "x"},
                                       {std::string(8'000, 'k')}};

Keys one(const std::string &key) { return Keys(1, key); }

class WorkspaceCase {
public:
  WorkspaceCase() : Deployment(Io, options()), Client(Io) {}

  void run(std::function<Awaitable<void>()> body) {
    spawn(Io, "case", [&]() -> Awaitable<void> {
      Deployment.start();
      co_await sleepFor(ListenTime);
      co_await body();
      Io.stop();
    });
    Io.run();
  }

  /// Returns the status of a request that carries these keys. The client keeps
  /// its connections.
  Awaitable<unsigned> call(const DeployedDaemon &daemon, std::string route,
                           Keys keys) {
    std::string id = "0123456789ab" + std::to_string(1'000 + Calls++);
    http::Request r = makeCall(id, route, Deadline);
    for (std::string &it : keys)
      r.Fields.add(std::string(platform::names::Key), std::move(it));
    r.Fields.add(std::string(platform::names::Tenant), "forged");
    http::CallOptions o;
    o.Timeout = Deadline;
    unsigned status = 0;
    try {
      status = (co_await Client.call(daemon.HttpListen, r, o)).Status;
    } catch (const Error &e) {
      UNSCOPED_INFO(e.what());
    }
    co_return status;
  }

  Awaitable<std::string> metrics(const DeployedDaemon &daemon) {
    http::Request r;
    r.Target = "/metrics";
    co_return (co_await Client.call(daemon.Metrics, r)).Body;
  }

  IoContext Io{1};
  std::string Folder = makeTemporaryFolder();
  PlatformDeployment Deployment;
  http::Client Client;
  unsigned Calls = 0;

private:
  PlatformDeploymentOptions options() const {
    PlatformDeploymentOptions o;
    o.Programs = SARDINEFORD_PROGRAMS;
    o.Folder = Folder;
    return o;
  }
};

std::string contents(const std::filesystem::path &file) {
  std::ifstream in(file);
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

bool containsKey(const std::string &text) {
  for (const std::string &it :
       {KeptKey, RemovedKey, AddedKey, SharedKey, UnknownKey})
    if (text.find(it) != std::string::npos)
      return true;
  return false;
}

} // namespace

// Guards against removed keys that stay valid on kept connections, added ones
// that are rejected, keys or forged names at a server, and keys in what a
// daemon writes.
TEST_CASE("keys of a new configuration hold within the time to apply it",
          "[process]") {
  WorkspaceCase c;
  using Statuses = std::vector<unsigned>;
  Statuses unconfigured;
  Statuses before;
  Statuses rejected;
  Statuses kept;
  Statuses removed;
  Statuses added;
  std::string metrics;
  c.run([&]() -> Awaitable<void> {
    std::vector<DeployedDaemon> &daemons = c.Deployment.Daemons;
    for (const DeployedDaemon &it : daemons)
      unconfigured.push_back(
          co_await c.call(it, RepeatableRoute, one(KeptKey)));
    c.Deployment.Workspaces = WorkspacesBefore;
    co_await c.Deployment.writeConfiguration(0);
    bool ready = co_await c.Deployment.waitReady(StartTime);
    if (!ready)
      co_return;
    co_await sleepFor(Milliseconds(800));
    for (const DeployedDaemon &it : daemons) {
      before.push_back(co_await c.call(it, RepeatableRoute, one(KeptKey)));
      before.push_back(co_await c.call(it, OnceRoute, one(RemovedKey)));
      before.push_back(co_await c.call(it, ResumableRoute, one(RemovedKey)));
      for (const Keys &keys : InvalidKeys)
        rejected.push_back(co_await c.call(it, RepeatableRoute, keys));
    }
    c.Deployment.Workspaces = WorkspacesAfter;
    co_await c.Deployment.writeConfiguration(0);
    co_await sleepFor(ApplyTime);
    for (const DeployedDaemon &it : daemons)
      for (const char *route : {OnceRoute, RepeatableRoute, ResumableRoute}) {
        kept.push_back(co_await c.call(it, route, one(KeptKey)));
        removed.push_back(co_await c.call(it, route, one(RemovedKey)));
        added.push_back(co_await c.call(it, route, one(AddedKey)));
      }
    for (const DeployedDaemon &it : daemons)
      metrics += co_await c.metrics(it);
  });
  INFO("folder " << c.Folder);
  CHECK(unconfigured == Statuses(3, 503));
  CHECK(before == Statuses(9, 200));
  CHECK(rejected == Statuses(24, 401));
  CHECK(kept == Statuses(9, 200));
  CHECK(removed == Statuses(9, 401));
  CHECK(added == Statuses(9, 200));

  std::map<std::string, size_t> actions;
  for (const WorkerEvent &it : readHistory(c.Deployment.historyFile()))
    ++actions[it.Action];
  CHECK(actions["with a key"] == 0);
  CHECK(actions["for forged"] == 0);
  CHECK(actions["for first"] >= 18);
  CHECK(actions["for second"] >= 9);

  CHECK_FALSE(metrics.empty());
  CHECK_FALSE(containsKey(metrics));
  for (size_t i = 0; i < c.Deployment.Daemons.size(); ++i) {
    std::string log =
        contents(c.Folder + "/node-" + std::to_string(i) + ".log");
    CHECK(log.find("workspace_conflict") != std::string::npos);
    CHECK_FALSE(containsKey(log));
  }
}
