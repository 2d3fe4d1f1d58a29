#include "Control/Commands.h"

#include "Control/NodeReader.h"
#include "Sardineford/Control/Edits.h"
#include "Sardineford/Http/Client.h"
#include "Sardineford/Store/HttpObjectStore.h"

#include <boost/json.hpp>
#include <spdlog/fmt/fmt.h>

#include <fstream>
#include <sstream>

namespace sardineford::control {

namespace json = boost::json;
using config::RawObject;

namespace {

constexpr Milliseconds StoreTimeout{3'000};
constexpr Milliseconds StatusTimeout{1'000};
constexpr Milliseconds WaitPollInterval{100};
/// A command that ends sooner shows no progress.
constexpr Milliseconds ProgressDelay{500};

[[noreturn]] void throwUsageError(const std::string &message) {
  throw Error(ErrorKind::BadRequest, message, "see sardinefordctl --help");
}

std::string readFile(const std::string &name) {
  std::ifstream in(name);
  if (!in)
    throwUsageError("cannot read the file '" + name + "'");
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

/// Runs one command with its own HTTP and store clients.
class Session {
public:
  Session(IoContext &io, const CommandOptions &options, std::ostream &out,
          std::ostream &err)
      : Io(io), Options(options), Out(out), Err(err), Client(io),
        Store(Client, options.Platform, StoreTimeout) {}

  Awaitable<ExitCode> run();

private:
  Awaitable<void> validate();
  Awaitable<void> apply(std::vector<RawObject> edits);
  Awaitable<void> diff();
  Awaitable<void> get();
  Awaitable<void> describe();
  Awaitable<void> edit(std::string list, bool add);
  Awaitable<void> status();
  Awaitable<ExitCode> nodes();
  std::vector<http::Endpoint> nodeAddresses() const;
  Awaitable<void> waitUntilApplied(std::vector<StoredObject> objects);
  Awaitable<std::optional<json::value>> fetchStatus();
  Awaitable<StoredObject> find(std::string kind, std::string name);
  std::vector<RawObject> fileObjects() const;
  const std::string &argument(size_t i) const;
  void printStatus(const json::value &v);
  void printPool(const json::value &p);

  IoContext &Io;
  const CommandOptions &Options;
  std::ostream &Out;
  std::ostream &Err;
  http::Client Client;
  store::HttpObjectStore Store;
};

const std::string &Session::argument(size_t i) const {
  if (Options.Arguments.size() <= i)
    throwUsageError("an argument is missing");
  return Options.Arguments[i];
}

std::vector<RawObject> Session::fileObjects() const {
  if (Options.File.empty())
    throwUsageError("-f FILE is missing");
  return config::splitObjects(readFile(Options.File), Options.File);
}

Awaitable<ExitCode> Session::run() {
  const std::string &command = argument(0);
  if (command == "validate")
    co_await validate();
  else if (command == "apply")
    co_await apply(fileObjects());
  else if (command == "diff")
    co_await diff();
  else if (command == "get")
    co_await get();
  else if (command == "describe")
    co_await describe();
  else if (command == "delete")
    co_await removeObject(Store, argument(1), argument(2));
  else if (command == "drain")
    co_await edit("drain", !Options.Undo);
  else if (command == "role")
    co_await edit("pinned_" + argument(3), !Options.Undo);
  else if (command == "status")
    co_await status();
  else if (command == "nodes")
    co_return co_await nodes();
  else
    throwUsageError("'" + command + "' is not a command");
  co_return ExitCode::Done;
}

/// Returns the addresses of --nodes and of the file, one a line.
std::vector<http::Endpoint> Session::nodeAddresses() const {
  std::vector<http::Endpoint> out = Options.Nodes;
  if (!Options.File.empty()) {
    std::istringstream lines(readFile(Options.File));
    for (std::string line; std::getline(lines, line);)
      if (!line.empty() && line.front() != '#')
        out.push_back(http::parseEndpoint(line));
  }
  if (out.empty())
    throwUsageError("--nodes or -f FILE with metrics addresses is missing");
  return out;
}

Awaitable<ExitCode> Session::nodes() {
  std::vector<http::Endpoint> addresses = nodeAddresses();
  MonoTime start = MonoClock::now();
  bool hasProgress = false;
  auto showProgress = [&](size_t done) {
    hasProgress = hasProgress || MonoClock::now() - start > ProgressDelay;
    if (Options.ShowProgress && hasProgress)
      Err << fmt::format("\rread {} of {} daemons", done, addresses.size())
          << std::flush;
  };
  std::vector<NodeAssessment> assessed =
      assessNodes(co_await readNodes(Io, Client, addresses, showProgress));
  if (Options.ShowProgress && hasProgress)
    Err << "\n";
  if (Options.AsJson)
    Out << json::serialize(toJson(assessed)) << "\n";
  else
    printAssessments(assessed, Out);
  co_return assessed.front().worst() == Severity::None ? ExitCode::Done
                                                       : ExitCode::Unhealthy;
}

Awaitable<void> Session::validate() {
  std::vector<StoredObject> current = co_await readObjects(Store);
  std::vector<PlannedEdit> edits = planEdits(current, fileObjects());
  Out << edits.size() << " objects are valid\n";
}

Awaitable<void> Session::apply(std::vector<RawObject> edits) {
  std::vector<StoredObject> current = co_await readObjects(Store);
  std::vector<PlannedEdit> planned = planEdits(current, edits);
  std::vector<StoredObject> written =
      co_await applyEdits(Store, std::move(planned));
  for (const StoredObject &it : written)
    Out << fmt::format("{}/{} version {}\n", it.Object.Kind, it.Object.Name,
                       it.Version);
  if (Options.Wait)
    co_await waitUntilApplied(std::move(written));
}

Awaitable<void> Session::diff() {
  std::vector<StoredObject> current = co_await readObjects(Store);
  std::vector<PlannedEdit> planned = planEdits(current, fileObjects());
  for (const PlannedEdit &it : planned) {
    if (it.Unchanged)
      continue;
    Out << fmt::format("{} {}/{}\n", it.Version == 0 ? "create" : "change",
                       it.Object.Kind, it.Object.Name);
    for (const StoredObject &old : current)
      if (old.Object.Kind == it.Object.Kind &&
          old.Object.Name == it.Object.Name)
        Out << "- " << old.Object.Text << "\n";
    Out << "+ " << it.Object.Text << "\n";
  }
}

Awaitable<void> Session::get() {
  std::string kind = Options.Arguments.size() > 1 ? Options.Arguments[1] : "";
  std::string name = Options.Arguments.size() > 2 ? Options.Arguments[2] : "";
  std::vector<StoredObject> all = co_await readObjects(Store, kind);
  json::array list;
  for (const StoredObject &it : all) {
    if (!name.empty() && it.Object.Name != name)
      continue;
    if (Options.AsJson || !name.empty())
      list.push_back(json::parse(it.Object.Text));
    else
      Out << fmt::format("{:12} {:24} {}\n", it.Object.Kind, it.Object.Name,
                         it.Version);
  }
  if (!list.empty())
    Out << json::serialize(list) << "\n";
}

Awaitable<StoredObject> Session::find(std::string kind, std::string name) {
  std::vector<StoredObject> all = co_await readObjects(Store, kind);
  for (StoredObject &it : all)
    if (it.Object.Name == name)
      co_return it;
  throw Error(ErrorKind::NotFound, kind + "/" + name + " does not exist",
              "list the objects with 'get'");
}

Awaitable<void> Session::describe() {
  StoredObject o = co_await find(argument(1), argument(2));
  Out << fmt::format("{}/{} version {}\n{}\n", o.Object.Kind, o.Object.Name,
                     o.Version, o.Object.Text);
}

Awaitable<void> Session::edit(std::string list, bool add) {
  StoredObject pool = co_await find("EnginePool", argument(1));
  std::vector<RawObject> edits = {
      editEngineList(pool.Object, list, argument(2), add)};
  co_await apply(std::move(edits));
}

/// Returns the status from the first controller that responds.
Awaitable<std::optional<json::value>> Session::fetchStatus() {
  http::CallOptions options;
  options.Timeout = StatusTimeout;
  for (const http::Endpoint &it : Options.Controllers) {
    http::Request request;
    request.Target = "/status";
    try {
      http::Response r = co_await Client.call(it, std::move(request), options);
      co_return json::parse(r.Body);
    } catch (const Error &) {
      continue;
    }
  }
  co_return std::nullopt;
}

Awaitable<void> Session::waitUntilApplied(std::vector<StoredObject> objects) {
  MonoTime end = MonoClock::now() + Options.WaitTimeout;
  std::string lastLine;
  while (MonoClock::now() < end) {
    std::optional<uint64_t> generation =
        co_await findPublishedGeneration(Store, objects);
    std::optional<json::value> v;
    if (generation)
      v = co_await fetchStatus();
    if (v) {
      size_t confirmed = 0;
      const json::array &members = v->at("members").as_array();
      for (const json::value &it : members)
        confirmed +=
            it.at("generation").to_number<uint64_t>() >= *generation ? 1 : 0;
      std::string line =
          fmt::format("generation {}: applied by {} of {} processes",
                      *generation, confirmed, members.size());
      if (line != lastLine)
        Out << line << std::endl;
      lastLine = line;
      if (confirmed == members.size())
        co_return;
    }
    co_await sleepFor(WaitPollInterval);
  }
  throw Error(ErrorKind::NotReady,
              "not all processes have applied the edit yet",
              "run 'status' to find the processes with an older generation");
}

void Session::printPool(const json::value &p) {
  Out << fmt::format("pool {} epoch {} {}\n",
                     std::string(p.at("pool").as_string()),
                     p.at("epoch").to_number<uint64_t>(),
                     p.at("holds").as_bool() ? "held here" : "");
  for (const json::value &e : p.at("engines").as_array())
    Out << fmt::format("  {:16} {:8} {:9} running {} waiting {}{}\n",
                       std::string(e.at("name").as_string()),
                       std::string(e.at("role").as_string()),
                       std::string(e.at("state").as_string()),
                       e.at("running").to_number<uint64_t>(),
                       e.at("waiting").to_number<uint64_t>(),
                       e.at("frozen").as_bool() ? " frozen" : "");
  for (const json::value &o : p.at("unfinished_orders").as_array())
    Out << fmt::format("  order {} to {} of {} in epoch {}\n",
                       std::string(o.at("id").as_string()),
                       std::string(o.at("engine").as_string()),
                       std::string(o.at("issuer").as_string()),
                       o.at("epoch").to_number<uint64_t>());
}

void Session::printStatus(const json::value &v) {
  Out << fmt::format("generation {} applied by {} of {} processes\n",
                     v.at("generation").to_number<uint64_t>(),
                     v.at("confirmed").to_number<uint64_t>(),
                     v.at("members").as_array().size());
  for (const json::value &m : v.at("members").as_array())
    Out << fmt::format("  {:24} {:16} generation {} {}\n",
                       std::string(m.at("name").as_string()),
                       std::string(m.at("domain").as_string()),
                       m.at("generation").to_number<uint64_t>(),
                       m.at("stopping").as_bool() ? "stopping"
                       : m.at("ready").as_bool()  ? "ready"
                                                  : "not ready");
}

Awaitable<void> Session::status() {
  bool anyResponse = false;
  http::CallOptions options;
  options.Timeout = StatusTimeout;
  for (const http::Endpoint &it : Options.Controllers) {
    http::Request request;
    request.Target = "/status";
    std::string text;
    try {
      http::Response r = co_await Client.call(it, std::move(request), options);
      text = r.Body;
    } catch (const Error &e) {
      Out << "controller " << http::toString(it) << " does not respond\n";
      continue;
    }
    json::value v = json::parse(text);
    if (Options.AsJson) {
      Out << text << "\n";
      anyResponse = true;
      continue;
    }
    if (!anyResponse)
      printStatus(v);
    anyResponse = true;
    if (v.at("publishes").as_bool())
      Out << "publishes: " << std::string(v.at("process").as_string()) << "\n";
    for (const json::value &p : v.at("pools").as_array())
      if (p.at("holds").as_bool())
        printPool(p);
  }
  if (!anyResponse)
    throw Error(ErrorKind::NotReady, "no controller responds",
                "check --controllers and the controllers' logs");
}

ExitCode toExitCode(ErrorKind k) {
  switch (k) {
  case ErrorKind::BadRequest:
  case ErrorKind::BadSettings:
    return ExitCode::UsageError;
  case ErrorKind::Conflict:
    return ExitCode::Conflict;
  case ErrorKind::BadConfiguration:
    return ExitCode::Rejected;
  case ErrorKind::StoreUnavailable:
  case ErrorKind::StoreAmbiguous:
    return ExitCode::StoreUnavailable;
  case ErrorKind::NotReady:
    return ExitCode::NotApplied;
  default:
    return ExitCode::Failed;
  }
}

} // namespace

ExitCode runCommand(const CommandOptions &options, std::ostream &out,
                    std::ostream &err) {
  IoContext io(1);
  ExitCode code = ExitCode::Done;
  Session session(io, options, out, err);
  spawn(io, "command", [&]() -> Awaitable<void> {
    try {
      code = co_await session.run();
    } catch (const Error &e) {
      err << e.what() << "\n" << e.Remedy << "\n";
      code = toExitCode(e.Kind);
    } catch (const std::exception &e) {
      err << e.what() << "\n";
      code = ExitCode::Failed;
    }
  });
  io.run();
  return code;
}

} // namespace sardineford::control
