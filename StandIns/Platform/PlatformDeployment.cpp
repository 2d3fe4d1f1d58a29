#include "StandIns/Platform/PlatformDeployment.h"

#include "StandIns/Deployment/Deployment.h"
#include "platform/Names.h"

#include <boost/json.hpp>

#include <filesystem>
#include <fstream>

namespace sardineford::standins {

namespace json = boost::json;
namespace names = platform::names;

namespace {

constexpr Milliseconds ReadyPollInterval{50};
/// Time until the store accepts connections.
constexpr Milliseconds StoreStartDelay{200};
/// Time until all backend servers are registered.
constexpr Milliseconds RegistrationDelay{800};

json::object route(const std::string &prefix, const std::string &kind,
                   const std::string &service, bool resumable) {
  bool stream = kind == "streaming";
  return {{"name", "r" + prefix},
          {"host", DeploymentHost},
          {"pathPrefix", prefix},
          {"kind", kind},
          {"timeoutMs", stream ? 4'000 : 2'000},
          {"targetLatencyMs", stream ? 500 : 200},
          {"priority", 1},
          {"service", service},
          {"maxAttempts", kind == "unsafe" || !resumable ? 1 : 2},
          {"resumable", resumable},
          {"gapAimMs", 300}};
}

} // namespace

std::string extraRoute(unsigned i) {
  return "/extra" + std::to_string(i) + "/";
}

PlatformDeployment::PlatformDeployment(IoContext &io,
                                       PlatformDeploymentOptions options)
    : Io(io), Options(std::move(options)), Client(io), Store(freeEndpoint()) {
  std::filesystem::create_directories(Options.Folder);
  Daemons.resize(Options.Daemons);
  addWorkers(Options.PlainServers, "desk", "", {"v1"});
  addWorkers(Options.PrefillEngines, "model", "prefill",
             Options.PrefillVersions);
  addWorkers(Options.DecodeEngines, "model", "decode", Options.DecodeVersions);
}

void PlatformDeployment::addWorkers(unsigned n, const std::string &service,
                                    const std::string &stage,
                                    const std::vector<std::string> &versions) {
  for (unsigned i = 0; i < n; ++i) {
    DeployedWorker w;
    w.Service = service;
    w.Stage = stage;
    w.Version = versions[i % versions.size()];
    w.Listen = freeEndpoint();
    w.Advertise = freeEndpoint();
    w.Link = std::make_unique<Relay>(Io, w.Advertise, w.Listen, freeEndpoint());
    Workers.push_back(std::move(w));
  }
}

void PlatformDeployment::separateLinks(DeployedDaemon &d, size_t index) {
  // The store tells the daemon another address of each server, of the same
  // length.
  std::string host = "127.0.0." + std::to_string(index + 2);
  for (const DeployedWorker &it : Workers) {
    http::Endpoint address{host, it.Advertise.Port};
    d.Links.push_back(
        std::make_unique<Relay>(Io, address, it.Advertise, freeEndpoint()));
    d.Links.back()->start();
    d.StoreLink->replaceFromTarget(http::toString(it.Advertise),
                                   http::toString(address));
  }
}

void PlatformDeployment::start() {
  StoreProcess = std::make_unique<Process>(
      ProcessSpec{"store",
                  Options.Programs + "/standin-platform-store",
                  {"--listen=" + http::toString(Store)},
                  Options.Folder + "/store.log"});
  StoreProcess->start();
  for (DeployedWorker &it : Workers) {
    it.Link->start();
    startWorker(it, false);
  }
  for (size_t i = 0; i < Daemons.size(); ++i) {
    DeployedDaemon &d = Daemons[i];
    d.HttpListen = freeEndpoint();
    d.Readiness = freeEndpoint();
    d.Metrics = freeEndpoint();
    http::Endpoint toStore = freeEndpoint();
    d.StoreLink = std::make_unique<Relay>(Io, toStore, Store, freeEndpoint());
    if (Options.SeparateLinks)
      separateLinks(d, i);
    d.StoreLink->start();
    std::string name = "node-" + std::to_string(i);
    std::string file = Options.Folder + "/" + name + ".json";
    json::object settings = {
        {"node",
         {{"name", name},
          {"failure_domain", i % 2 == 0 ? "a" : "b"},
          {"http_listen", http::toString(d.HttpListen)}}},
        {"platform", {{"endpoint", http::toString(toStore)}}},
        {"gateway",
         {{"readiness_listen", http::toString(d.Readiness)},
          {"peer_listen", http::toString(freeEndpoint())},
          {"metrics_listen", http::toString(d.Metrics)},
          {"retry_slack", Options.RetrySlack},
          {"server_pace", Options.PacesServers},
          {"stop_grace_s", Options.DaemonStopGrace.count()}}},
        {"log", {{"json", true}, {"stdout", true}}}};
    if (!Options.DutyEndpoint.empty())
      settings["duties"] = {{"endpoint", Options.DutyEndpoint},
                            {"names", "usage_report"},
                            {"lease_ms", 1'000},
                            {"usage_window_s", 1}};
    json::object &node = settings.at("node").as_object();
    if (Options.DaemonMemoryMb > 0)
      node["memory_mb"] = Options.DaemonMemoryMb;
    if (Options.DaemonDescriptors > 0)
      node["max_descriptors"] = Options.DaemonDescriptors;
    std::ofstream(file) << json::serialize(settings);
    d.ChildProcess = std::make_unique<Process>(
        ProcessSpec{name,
                    Options.Programs + "/sardineford",
                    {"--settings=" + file},
                    Options.Folder + "/" + name + ".log"});
    startDaemon(d);
  }
}

Awaitable<bool> PlatformDeployment::bringUp(Milliseconds timeout) {
  start();
  co_await sleepFor(StoreStartDelay);
  co_await writeConfiguration(0);
  bool ready = co_await waitReady(timeout);
  co_await sleepFor(RegistrationDelay);
  co_return ready;
}

void PlatformDeployment::startDaemon(DeployedDaemon &d) {
  d.ChildProcess->start();
}

void PlatformDeployment::startWorker(DeployedWorker &w, bool keepId) {
  if (!keepId || w.Id.empty())
    w.Id = "i-" + std::to_string(NextId++);
  NamedLimit limit;
  if (&w == &Workers.back())
    limit = Options.Limit;
  std::vector<std::string> flags = {
      "--id=" + w.Id,
      "--service=" + w.Service,
      "--stage=" + w.Stage,
      "--software_version=" + w.Version,
      "--listen=" + http::toString(w.Listen),
      "--advertise=" + http::toString(w.Advertise),
      "--store=" + http::toString(Store),
      "--slots=64",
      "--work_ms=" + std::to_string(Options.WorkTime.count()),
      "--step_ms=" + std::to_string(Options.StepTime.count()),
      "--drain_ms=" + std::to_string(Options.DrainTime.count()),
      "--crashing_part=" + Options.CrashingPart,
      "--crashing_path=" + Options.CrashingPath,
      "--limit=" + std::to_string(limit.PerSecond),
      "--limit_from_ms=" + std::to_string(limit.From.count()),
      "--limit_ms=" + std::to_string(limit.Length.count()),
      "--history=" + historyFile()};
  flags.insert(flags.end(), w.Flags.begin(), w.Flags.end());
  if (Options.MaxConnections > 0 && w.Stage.empty())
    flags.push_back("--max_connections=" +
                    std::to_string(Options.MaxConnections));
  w.ChildProcess = std::make_unique<Process>(
      ProcessSpec{w.Id, Options.Programs + "/standin-platform-worker",
                  std::move(flags), Options.Folder + "/" + w.Id + ".log"});
  w.ChildProcess->start();
}

Awaitable<void> PlatformDeployment::writeConfiguration(unsigned extraRoutes) {
  json::array routes = {route(OnceRoute, "unsafe", "desk", false),
                        route(RepeatableRoute, "safe", "desk", true),
                        route(ResumableRoute, "streaming", "model", true),
                        route(StreamRoute, "streaming", "model", false)};
  for (unsigned i = 0; i < extraRoutes; ++i)
    routes.push_back(route(extraRoute(i), "safe", "desk", true));
  json::object engine = {{"slots", 64},
                         {"kvCapacity", 500'000},
                         {"tokenKvBytes", 35'136},
                         {"linkMbps", 1'000'000}};
  json::object desk = {{"name", "desk"}, {"healthPath", "/health"}};
  if (Options.MaxConnections > 0)
    desk["maxConnections"] = Options.MaxConnections;
  json::array services = {desk, json::object{{"name", "model"},
                                             {"healthPath", "/health"},
                                             {"engine", engine}}};
  Version += 2;
  json::object spec = {{"version", Version},
                       {"routes", routes},
                       {"services", services},
                       {"limits", {{"idleTimeoutMs", 15'000}}}};
  json::array workspaces;
  for (const auto &[name, keys] : Workspaces)
    workspaces.push_back(json::object{
        {"name", name}, {"apiKeys", json::array(keys.begin(), keys.end())}});
  if (!Options.WorkspaceKey.empty())
    workspaces.push_back(
        json::object{{"name", WorkspaceName},
                     {"apiKeys", json::array{Options.WorkspaceKey}}});
  if (!workspaces.empty())
    spec["tenants"] = std::move(workspaces);
  std::string kind =
      std::string(names::ObjectsPath) + std::string(names::ConfigKind);
  http::Request r;
  r.Body = json::serialize(
      json::object{{"metadata", {{"name", std::string(names::ConfigName)}}},
                   {"spec", spec}});
  r.Method = "PUT";
  r.Target = kind + "/" + std::string(names::ConfigName);
  http::Response response = co_await Client.call(Store, r);
  if (response.Status != 404)
    co_return;
  r.Method = "POST";
  r.Target = kind;
  co_await Client.call(Store, r);
}

Awaitable<void> PlatformDeployment::setStoreMode(std::string body) {
  http::Request r;
  r.Method = "POST";
  r.Target = "/admin";
  r.Body = std::move(body);
  co_await Client.call(Store, r);
}

Awaitable<void> PlatformDeployment::writeOddEntry(std::string name,
                                                  size_t kind) {
  json::object body = {{"odd_entry", kind}, {"name", name}};
  co_await setStoreMode(json::serialize(body));
}

Awaitable<bool> PlatformDeployment::waitReady(Milliseconds timeout) {
  MonoTime end = MonoClock::now() + timeout;
  for (const DeployedDaemon &it : Daemons) {
    bool ready = false;
    while (!ready && MonoClock::now() < end) {
      try {
        http::Request r;
        r.Target = std::string(names::ReadinessPath);
        http::Response response = co_await Client.call(it.Readiness, r);
        ready = response.Status == 200;
      } catch (const Error &) {
        // The daemon is still starting.
        ready = false;
      }
      if (!ready)
        co_await sleepFor(ReadyPollInterval);
    }
    if (!ready)
      co_return false;
  }
  co_return true;
}

} // namespace sardineford::standins
