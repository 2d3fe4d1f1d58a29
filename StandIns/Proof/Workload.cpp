#include "StandIns/Proof/Workload.h"

#include "Sardineford/Config/Generation.h"
#include "Sardineford/Control/Edits.h"
#include "StandIns/Engine/Text.h"

#include <spdlog/fmt/fmt.h>

#include <set>

namespace sardineford::standins {

using load::CallOutcome;
using load::CallResult;
using timeline::EventKind;

namespace {

constexpr Milliseconds StoreTimeout{1'000};
constexpr Milliseconds CompletionPause{20};
constexpr Milliseconds OncePause{60};
constexpr Milliseconds EditPause{700};
constexpr Milliseconds RetryDelay{60};
constexpr Milliseconds OnceTimeout{4'000};
constexpr int MaxCompletionAttempts = 40;
constexpr int MaxOnceAttempts = 6;
constexpr Milliseconds EditApplyTimeout{9'000};

} // namespace

Workload::Workload(const Deployment &d, WorkloadOptions options)
    : Options(std::move(options)), EntryNames(d.entries()),
      Engines(d.engines()), Io(1), Client(Io),
      Store(Client, d.platform(), StoreTimeout),
      Recorder({"client", "client", ""}), Random(Options.Seed) {
  for (const std::string &it : EntryNames)
    EntryAddresses.push_back(d.httpEndpoint(it));
  Recorder.openHistory(d.options().Folder + "/client.history");
}

Workload::~Workload() {
  Stopping = true;
  if (Thread.joinable())
    Thread.join();
}

void Workload::start() {
  for (int i = 0; i < Options.CompletionCallers; ++i)
    spawn(Io, "completions", [this, i] { return completionLoop(i); });
  for (int i = 0; i < Options.OnceCallers; ++i)
    spawn(Io, "once-requests", [this, i] { return onceLoop(i); });
  for (int i = 0; i < Options.Operators; ++i)
    spawn(Io, "operator", [this, i] { return operatorLoop(i); });
  Thread = std::thread([this] { Io.run(); });
}

WorkloadCounts Workload::stop() {
  Stopping = true;
  Thread.join();
  Io.restart();
  spawn(Io, "check-edits", [this] { return checkEdits(); });
  Io.run();
  return Counts;
}

size_t Workload::pickEntry() {
  return std::uniform_int_distribution<size_t>(0,
                                               EntryNames.size() - 1)(Random);
}

Awaitable<void> Workload::completionLoop(int number) {
  for (int n = 0; !Stopping; ++n) {
    co_await requestCompletion(fmt::format("r{}-{}", number, n));
    co_await sleepFor(CompletionPause);
  }
}

/// Sends one completion, and resumes it at a random entry if its stream breaks.
Awaitable<void> Workload::requestCompletion(std::string id) {
  load::CompletionCall call;
  call.RequestId = id;
  call.Workspace = Options.Workspace;
  call.Model = Options.Model;
  bool isLong = std::uniform_int_distribution<int>(0, 3)(Random) == 0;
  call.Prompt = fmt::format("question {} ", id);
  call.Prompt.resize(isLong ? 16'000 : 400, 'x');
  call.MaxTokens = isLong ? 300 : 60;
  call.Deadline = Options.Deadline;
  MonoTime deadline = MonoClock::now() + call.Deadline;
  std::string text;
  CallResult r;
  bool accepted = false;
  record({.Kind = EventKind::RequestSent, .Request = id});
  for (int n = 0; n < MaxCompletionAttempts && MonoClock::now() < deadline;
       ++n) {
    size_t entry = pickEntry();
    Milliseconds remaining = toMilliseconds(deadline - MonoClock::now());
    call.Deadline = std::max(remaining, Milliseconds(1));
    r = co_await load::callCompletion(Client, EntryAddresses[entry], call);
    text += r.Text;
    call.Delivered += r.Tokens;
    accepted |= r.Tokens > 0;
    bool isBroken = r.Outcome == CallOutcome::Disconnected;
    if (isBroken && r.Status != 0)
      record({.Kind = EventKind::RequestFailed,
              .Request = id,
              .Engine = EntryNames[entry],
              .Detail = "connection-broke"});
    if (r.Outcome == CallOutcome::Complete)
      break;
    if (!r.ResumeToken.empty() && call.Delivered > 0) {
      call.ResumeToken = r.ResumeToken;
      ++Counts.Resumes;
    }
    co_await sleepFor(RetryDelay);
  }
  ++Counts.Completions;
  bool isComplete = r.Outcome == CallOutcome::Complete;
  bool isCorrect =
      text == expectedCompletion(call.Model, call.Prompt, call.MaxTokens);
  bool isPastDeadline = MonoClock::now() >= deadline;
  Counts.Complete += isComplete && isCorrect ? 1 : 0;
  Counts.Rejected += !isComplete && !accepted ? 1 : 0;
  Counts.Late += !isComplete && accepted && isPastDeadline ? 1 : 0;
  std::string detail = isComplete && isCorrect       ? "whole"
                       : isComplete                  ? "wrong"
                       : accepted && !isPastDeadline ? "lost"
                       : accepted                    ? "late"
                                                     : "refused";
  record({.Kind = EventKind::AnswerReceived, .Request = id, .Detail = detail});
}

Awaitable<void> Workload::onceLoop(int number) {
  for (int n = 0; !Stopping; ++n) {
    co_await requestOnce(fmt::format("k{}-{}-{}", Options.Seed, number, n));
    co_await sleepFor(OncePause);
  }
}

Awaitable<CallResult> Workload::sendOnceRequest(http::Endpoint entry,
                                                std::string key,
                                                std::string id) {
  http::Request request;
  request.Method = "POST";
  request.Target = "/services/" + Options.Service + Options.OncePath;
  request.Fields.add("X-Workspace", Options.Workspace);
  request.Fields.add("X-Request-Id", id);
  request.Fields.add("Idempotency-Key", key);
  if (id == key + "-0")
    request.Fields.add("X-First-Attempt", "true");
  request.Body = "{\"filing\":\"" + key + "\"}";
  CallResult out;
  http::CallOptions options;
  options.Timeout = OnceTimeout;
  try {
    http::Response r = co_await Client.call(entry, std::move(request), options);
    out.Status = r.Status;
    if (r.Status != 200)
      load::readProblem(r, r.Body, out);
    out.Outcome = r.Status == 200 ? CallOutcome::Complete : CallOutcome::Failed;
  } catch (const http::TransportError &) {
    out.Outcome = CallOutcome::Disconnected;
  }
  co_return out;
}

/// Sends one request that must run at most once, with further attempts at
/// random entries until a response is complete.
Awaitable<void> Workload::requestOnce(std::string key) {
  ++Counts.OnceRequests;
  bool unknown = false;
  for (int n = 0; n < MaxOnceAttempts; ++n) {
    size_t entry = pickEntry();
    std::string id = key + "-" + std::to_string(n);
    record({.Kind = EventKind::RequestSent, .Request = id, .Key = key});
    CallResult r = co_await sendOnceRequest(EntryAddresses[entry], key, id);
    std::string detail = r.Outcome == CallOutcome::Complete ? "whole"
                         : r.Run == "no"                    ? "not-run"
                         : r.Run == "unknown"               ? "unknown"
                                                            : "broken";
    record({.Kind = EventKind::AnswerReceived,
            .Request = id,
            .Key = key,
            .Detail = detail});
    unknown = detail == "unknown";
    if (detail == "whole") {
      ++Counts.OnceExecuted;
      co_return;
    }
    co_await sleepFor(RetryDelay);
  }
  Counts.OnceUnknown += unknown ? 1 : 0;
}

Awaitable<void> Workload::operatorLoop(int) {
  while (!Stopping) {
    try {
      co_await editOnce();
    } catch (const Error &e) {
      Counts.Conflicts += e.Kind == ErrorKind::Conflict ? 1 : 0;
    }
    co_await sleepFor(EditPause);
  }
}

/// Pins a random engine to a random role, concurrently with the other
/// operators.
Awaitable<void> Workload::editOnce() {
  std::vector<control::StoredObject> present =
      co_await control::readObjects(Store, "EnginePool");
  if (present.empty())
    co_return;
  config::RawObject pool = present.front().Object;
  std::uniform_int_distribution<size_t> pick(1, Engines.size() - 1);
  const std::string &engine = Engines[pick(Random)];
  bool toPrefill = std::uniform_int_distribution<int>(0, 1)(Random) == 0;
  pool = control::editEngineList(pool, "pinned_prefill", engine, toPrefill);
  pool = control::editEngineList(pool, "pinned_decode", engine, !toPrefill);
  control::PlannedEdit edit{pool, present.front().Version, false};
  std::vector<control::PlannedEdit> edits = {edit};
  std::vector<control::StoredObject> written =
      co_await control::applyEdits(Store, std::move(edits));
  ++Counts.Edits;
  for (const control::StoredObject &it : written) {
    std::string name = it.Object.Kind + "/" + it.Object.Name;
    AcceptedVersions[name] = std::max(AcceptedVersions[name], it.Version);
  }
}

/// Waits until the newest generation contains every accepted edit, and records
/// for each whether the generation contains it at the end.
Awaitable<void> Workload::checkEdits() {
  MonoTime end = MonoClock::now() + EditApplyTimeout;
  std::set<std::string> missing;
  do {
    missing.clear();
    std::map<std::string, uint64_t> applied;
    try {
      config::Delta d = co_await config::readNewestGeneration(Store);
      for (const config::Record &it : d.Records)
        applied[it.Kind + "/" + it.Name] = it.Version;
    } catch (const Error &) {
    }
    for (const auto &[name, version] : AcceptedVersions)
      if (applied[name] < version)
        missing.insert(name);
    co_await sleepFor(RetryDelay);
  } while (!missing.empty() && MonoClock::now() < end);
  for (const auto &[name, version] : AcceptedVersions)
    record({.Kind = EventKind::ObjectAccepted,
            .Key = name,
            .Detail = missing.contains(name) ? "lost" : "kept"});
}

} // namespace sardineford::standins
