#include "StandIns/Deployment/Deployment.h"

#include "Sardineford/Control/Edits.h"
#include "Sardineford/Http/Client.h"
#include "Sardineford/Membership/HttpInstanceList.h"
#include "Sardineford/Store/HttpObjectStore.h"
#include "StandIns/Deployment/PortAllocator.h"

#include <boost/json.hpp>

#include <filesystem>
#include <fstream>
#include <mutex>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace sardineford::standins {

namespace json = boost::json;
using membership::InstanceKind;
using membership::InstanceState;

namespace {

constexpr const char *Loopback = "127.0.0.1";
constexpr const char *PlatformName = "platform";
constexpr int StopTimeoutMs = 8'000;
constexpr int ReadyTimeoutMs = 20'000;
constexpr Milliseconds CallTimeout{3'000};
constexpr std::chrono::milliseconds PollInterval{20};

/// Sets the value of a key "group.name".
void setNested(json::object &root, const std::string &key, json::value v) {
  size_t dot = key.find('.');
  std::string group = key.substr(0, dot);
  json::value &inner = root[group];
  if (!inner.is_object())
    inner.emplace_object();
  inner.as_object()[key.substr(dot + 1)] = std::move(v);
}

std::string readAll(const std::string &file) {
  std::ifstream in(file);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

http::Request post(const std::string &path, const std::string &body) {
  http::Request r;
  r.Method = "POST";
  r.Target = path;
  r.Body = body;
  return r;
}

} // namespace

std::string makeTemporaryFolder() {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "sardineford-XXXXXX").string();
  if (!mkdtemp(pattern.data()))
    throw std::runtime_error("cannot create a temporary folder");
  return pattern;
}

http::Endpoint freeEndpoint() {
  static std::mutex mutex;
  static PortAllocator allocator(static_cast<uint32_t>(getpid()));
  std::lock_guard lock(mutex);
  return allocator.next();
}

http::Response callBlocking(const http::Endpoint &to, http::Request request,
                            Milliseconds timeout) {
  IoContext io(1);
  http::Client client(io);
  http::Response out;
  out.Status = 0;
  http::CallOptions options;
  options.Timeout = timeout;
  spawn(io, "call", [&]() -> Awaitable<void> {
    try {
      out = co_await client.call(to, request, options);
    } catch (const Error &) {
      out.Status = 0;
    }
  });
  io.run();
  return out;
}

Deployment::Deployment(DeploymentOptions options)
    : Options(std::move(options)) {
  std::filesystem::remove_all(Options.Folder);
  std::filesystem::create_directories(Options.Folder);
  PlatformAddress = freeEndpoint();
  addProcess(PlatformName, "standin-object-api",
             {"--listen=" + http::toString(PlatformAddress),
              "--list_lag_ms=" + std::to_string(Options.ListLag.count())});
  for (const GroupSetup &it : Options.Engines)
    addEngines(it);
  for (const GroupSetup &it : Options.Services)
    addServices(it);
  for (int i = 0; i < Options.Controllers; ++i)
    addNode("controller-" + std::to_string(i), InstanceKind::Controller);
  for (int i = 0; i < Options.Entries; ++i)
    addNode("entry-" + std::to_string(i), InstanceKind::Entry);
}

Deployment::~Deployment() { stop(); }

const std::string &Deployment::failureDomainFor(size_t i) const {
  return Options.FailureDomains[i % Options.FailureDomains.size()];
}

void Deployment::addProcess(const std::string &name, const std::string &program,
                            std::vector<std::string> arguments) {
  bool writesHistory =
      program == "standin-engine" || program == "standin-service";
  if (Options.WriteHistories && writesHistory)
    arguments.push_back("--history=" + Options.Folder + "/" + name +
                        ".history");
  ProcessSpec spec{name, Options.Programs + "/" + program, std::move(arguments),
                   Options.Folder + "/" + name + ".log"};
  Processes[name] = std::make_unique<Process>(std::move(spec));
  StartOrder.push_back(name);
}

http::Endpoint Deployment::addRelay(const std::string &name,
                                    const http::Endpoint &to) {
  if (!Options.UseRelays)
    return to;
  http::Endpoint listen = freeEndpoint();
  http::Endpoint admin = freeEndpoint();
  RelayAdmins[name] = admin;
  addProcess("relay-" + name, "standin-relay",
             {"--listen=" + http::toString(listen),
              "--to=" + http::toString(to),
              "--admin=" + http::toString(admin)});
  return listen;
}

void Deployment::addEngines(const GroupSetup &group) {
  for (int i = 0; i < group.Count; ++i) {
    std::string name = group.Group + "-" + std::to_string(i);
    Node n;
    n.Listen = n.Http = freeEndpoint();
    n.Entry = {name,
               InstanceKind::Engine,
               group.Group,
               addRelay(name, n.Listen),
               failureDomainFor(static_cast<size_t>(i)),
               InstanceState::Live};
    std::string role = i < Options.InitialPrefill ? "prefill" : "decode";
    addProcess(
        name, "standin-engine",
        {"--name=" + name, "--listen=" + http::toString(n.Listen),
         "--role=" + role,
         std::string("--check_fencing=") +
             (Options.EnginesCheckFencing ? "true" : "false"),
         "--time_scale=" + std::to_string(Options.TimeScale),
         "--report_lag_ms=" + std::to_string(Options.ReportLag.count()),
         "--role_change_ms=" + std::to_string(Options.RoleChangeTime.count())});
    Nodes[name] = n;
  }
}

void Deployment::addServices(const GroupSetup &group) {
  for (int i = 0; i < group.Count; ++i) {
    std::string name = group.Group + "-" + std::to_string(i);
    Node n;
    n.Listen = n.Http = freeEndpoint();
    n.Entry = {name,
               InstanceKind::Service,
               group.Group,
               addRelay(name, n.Listen),
               failureDomainFor(static_cast<size_t>(i)),
               InstanceState::Live};
    addProcess(name, "standin-service",
               {"--name=" + name, "--listen=" + http::toString(n.Listen)});
    Nodes[name] = n;
  }
}

void Deployment::addNode(const std::string &name, InstanceKind kind) {
  Node n;
  n.Listen = freeEndpoint();
  n.Http = freeEndpoint();
  size_t index = Nodes.size();
  n.Entry = {name,
             kind,
             "",
             addRelay(name, n.Listen),
             failureDomainFor(index),
             InstanceState::Live};
  http::Endpoint platform = addRelay("store-" + name, PlatformAddress);
  std::string settings = writeSettings(name, n, platform);
  const char *program = kind == InstanceKind::Entry ? "sardineford-entry"
                                                    : "sardineford-controller";
  addProcess(name, program, {"--settings=" + settings});
  Nodes[name] = n;
}

std::string Deployment::writeSettings(const std::string &name, const Node &n,
                                      const http::Endpoint &platform) {
  json::object root;
  setNested(root, "node.name", json::value(name));
  setNested(root, "node.failure_domain", json::value(n.Entry.FailureDomain));
  setNested(root, "node.http_listen", json::value(http::toString(n.Http)));
  setNested(root, "node.rpc_listen", json::value(http::toString(n.Listen)));
  setNested(root, "node.rpc_advertise",
            json::value(http::toString(n.Entry.Address)));
  setNested(root, "platform.endpoint", json::value(http::toString(platform)));
  if (Options.WriteHistories)
    setNested(root, "history.file",
              json::value(Options.Folder + "/" + name + ".history"));
  bool isEntry = n.Entry.Kind == InstanceKind::Entry;
  for (const auto &[key, text] : Options.Settings) {
    bool isControllerSetting =
        key.starts_with("plan.") || key.starts_with("roles.");
    bool isEntrySetting = key.starts_with("entry.");
    if ((isControllerSetting && isEntry) || (isEntrySetting && !isEntry))
      continue;
    setNested(root, key, json::parse(text));
  }
  std::string file = Options.Folder + "/" + name + ".json";
  std::ofstream(file) << json::serialize(root);
  return file;
}

void Deployment::registerInstance(const Node &n) {
  callBlocking(PlatformAddress,
               post("/admin/instance", membership::encodeInstance(n.Entry)),
               CallTimeout);
}

void Deployment::start() {
  for (const std::string &it : StartOrder) {
    Processes.at(it)->start();
    if (it != PlatformName)
      continue;
    http::Request probe;
    probe.Target = "/admin/counts";
    while (callBlocking(PlatformAddress, probe, CallTimeout).Status == 0)
      std::this_thread::sleep_for(PollInterval);
    for (const auto &[name, n] : Nodes)
      registerInstance(n);
    applyObjects();
  }
  if (!waitReady(ReadyTimeoutMs))
    throw std::runtime_error(
        "the deployment is not ready after the timeout; see the logs in " +
        Options.Folder);
}

void Deployment::applyObjects() {
  IoContext io(1);
  http::Client client(io);
  store::HttpObjectStore store(client, PlatformAddress, CallTimeout);
  std::string failure;
  spawn(io, "apply", [&]() -> Awaitable<void> {
    try {
      std::vector<config::RawObject> edits = config::splitObjects(
          readAll(Options.ObjectsFile), Options.ObjectsFile);
      std::vector<control::StoredObject> present =
          co_await control::readObjects(store);
      co_await control::applyEdits(store, control::planEdits(present, edits));
    } catch (const Error &e) {
      failure = e.what();
    }
  });
  io.run();
  if (!failure.empty())
    throw std::runtime_error(failure);
}

bool Deployment::isReady(const std::string &name) {
  http::Request request;
  request.Target = "/readyz";
  return callBlocking(httpEndpoint(name), request, CallTimeout).Status == 200;
}

bool Deployment::waitReady(int timeoutMs) {
  MonoTime end = MonoClock::now() + Milliseconds(timeoutMs);
  std::vector<std::string> notReady = entries();
  std::vector<std::string> more = controllers();
  notReady.insert(notReady.end(), more.begin(), more.end());
  while (!notReady.empty() && MonoClock::now() < end) {
    if (isReady(notReady.back()))
      notReady.pop_back();
    else
      std::this_thread::sleep_for(PollInterval);
  }
  return notReady.empty();
}

void Deployment::stop() {
  for (auto it = StartOrder.rbegin(); it != StartOrder.rend(); ++it) {
    Process &p = *Processes.at(*it);
    p.resume();
    p.terminate();
  }
  for (auto it = StartOrder.rbegin(); it != StartOrder.rend(); ++it) {
    Process &p = *Processes.at(*it);
    if (!p.wait(StopTimeoutMs))
      p.kill();
  }
}

void Deployment::restart(const std::string &name) {
  Process &p = *Processes.at(name);
  p.kill();
  p.start();
}

http::Endpoint Deployment::httpEndpoint(const std::string &name) const {
  return Nodes.at(name).Http;
}

std::vector<std::string> Deployment::namesOf(InstanceKind kind) const {
  std::vector<std::string> out;
  for (const auto &[name, n] : Nodes)
    if (n.Entry.Kind == kind)
      out.push_back(name);
  return out;
}

std::vector<std::string> Deployment::entries() const {
  return namesOf(InstanceKind::Entry);
}

std::vector<std::string> Deployment::controllers() const {
  return namesOf(InstanceKind::Controller);
}

std::vector<std::string> Deployment::engines() const {
  return namesOf(InstanceKind::Engine);
}

std::vector<std::string> Deployment::services() const {
  return namesOf(InstanceKind::Service);
}

void Deployment::admin(const std::string &name, const std::string &json) {
  callBlocking(Nodes.at(name).Listen, post("/admin", json), CallTimeout);
}

void Deployment::setStore(const std::string &json) {
  callBlocking(PlatformAddress, post("/admin/mode", json), CallTimeout);
}

void Deployment::setInstance(const std::string &name, InstanceState state) {
  Nodes.at(name).Entry.State = state;
  registerInstance(Nodes.at(name));
}

void Deployment::setLink(const std::string &name, const std::string &json) {
  callBlocking(RelayAdmins.at(name), post("/", json), CallTimeout);
}

void Deployment::setStoreLink(const std::string &name,
                              const std::string &json) {
  setLink("store-" + name, json);
}

} // namespace sardineford::standins
