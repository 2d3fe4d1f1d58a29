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
constexpr Milliseconds ReaderPause{20};
constexpr Milliseconds FilerPause{60};
constexpr Milliseconds OperatorPause{700};
constexpr Milliseconds RetryPause{60};
constexpr Milliseconds FilingTimeout{4'000};
constexpr int MaxTries = 40;
constexpr int MaxFilingTries = 6;
constexpr Milliseconds SettleTime{9'000};

} // namespace

Workload::Workload(const Deployment &d, WorkloadOptions options)
    : Options(std::move(options)), EntryNames(d.entries()),
      Engines(d.engines()), Io(1), Client(Io),
      Store(Client, d.platform(), StoreTimeout),
      Recorder({"client", "client", ""}), Random(Options.Seed) {
  for (const std::string &it : EntryNames)
    EntryAddresses.push_back(d.httpOf(it));
  Recorder.openHistory(d.options().Folder + "/client.history");
}

Workload::~Workload() {
  Stopping = true;
  if (Thread.joinable())
    Thread.join();
}

void Workload::start() {
  for (int i = 0; i < Options.Readers; ++i)
    spawn(Io, "reader", [this, i] { return reader(i); });
  for (int i = 0; i < Options.Filers; ++i)
    spawn(Io, "filer", [this, i] { return filer(i); });
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

Awaitable<void> Workload::reader(int number) {
  for (int n = 0; !Stopping; ++n) {
    co_await readOnce(fmt::format("r{}-{}", number, n));
    co_await sleepFor(ReaderPause);
  }
}

/// One question, taken up at another entry when its stream breaks.
Awaitable<void> Workload::readOnce(std::string id) {
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
  for (int n = 0; n < MaxTries && MonoClock::now() < deadline; ++n) {
    size_t entry = pickEntry();
    Milliseconds left = toMilliseconds(deadline - MonoClock::now());
    call.Deadline = std::max(left, Milliseconds(1));
    r = co_await load::callCompletion(Client, EntryAddresses[entry], call);
    text += r.Text;
    call.Delivered += r.Tokens;
    accepted |= r.Tokens > 0;
    bool broke = r.Outcome == CallOutcome::Disconnected;
    if (broke && r.Status != 0)
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
    co_await sleepFor(RetryPause);
  }
  ++Counts.Answers;
  bool isWhole = r.Outcome == CallOutcome::Complete;
  bool isRight =
      text == expectedAnswer(call.Model, call.Prompt, call.MaxTokens);
  bool passed = MonoClock::now() >= deadline;
  Counts.Whole += isWhole && isRight ? 1 : 0;
  Counts.Refused += !isWhole && !accepted ? 1 : 0;
  Counts.Late += !isWhole && accepted && passed ? 1 : 0;
  std::string detail = isWhole && isRight    ? "whole"
                       : isWhole             ? "wrong"
                       : accepted && !passed ? "lost"
                       : accepted            ? "late"
                                             : "refused";
  record({.Kind = EventKind::AnswerReceived, .Request = id, .Detail = detail});
}

Awaitable<void> Workload::filer(int number) {
  for (int n = 0; !Stopping; ++n) {
    co_await fileOnce(fmt::format("k{}-{}-{}", Options.Seed, number, n));
    co_await sleepFor(FilerPause);
  }
}

Awaitable<CallResult> Workload::sendFiling(http::Endpoint entry,
                                           std::string key, std::string id) {
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
  options.Timeout = FilingTimeout;
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

/// One filing, sent again through any entry until its outcome is known.
Awaitable<void> Workload::fileOnce(std::string key) {
  ++Counts.Filings;
  bool unknown = false;
  for (int n = 0; n < MaxFilingTries; ++n) {
    size_t entry = pickEntry();
    std::string id = key + "-" + std::to_string(n);
    record({.Kind = EventKind::RequestSent, .Request = id, .Key = key});
    CallResult r = co_await sendFiling(EntryAddresses[entry], key, id);
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
      ++Counts.FiledOnce;
      co_return;
    }
    co_await sleepFor(RetryPause);
  }
  Counts.FiledUnknown += unknown ? 1 : 0;
}

Awaitable<void> Workload::operatorLoop(int) {
  while (!Stopping) {
    try {
      co_await editOnce();
    } catch (const Error &e) {
      Counts.Conflicts += e.Kind == ErrorKind::Conflict ? 1 : 0;
    }
    co_await sleepFor(OperatorPause);
  }
}

/// Pins a random engine to the other role, racing the other operators.
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
    Accepted[name] = std::max(Accepted[name], it.Version);
  }
}

/// Waits until the newest generation holds every accepted edit.
Awaitable<void> Workload::checkEdits() {
  MonoTime end = MonoClock::now() + SettleTime;
  std::set<std::string> missing;
  do {
    missing.clear();
    std::map<std::string, uint64_t> inForce;
    try {
      config::Delta d = co_await config::readNewestGeneration(Store);
      for (const config::Record &it : d.Records)
        inForce[it.Kind + "/" + it.Name] = it.Version;
    } catch (const Error &) {
    }
    for (const auto &[name, version] : Accepted)
      if (inForce[name] < version)
        missing.insert(name);
    co_await sleepFor(RetryPause);
  } while (!missing.empty() && MonoClock::now() < end);
  for (const auto &[name, version] : Accepted)
    record({.Kind = EventKind::ObjectAccepted,
            .Key = name,
            .Detail = missing.contains(name) ? "lost" : "kept"});
}

} // namespace sardineford::standins
