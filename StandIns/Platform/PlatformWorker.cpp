#include "StandIns/Platform/PlatformWorker.h"

#include "Sardineford/Common/Random.h"
#include "Sardineford/Http/Status.h"
#include "platform/Names.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <cstdlib>

namespace sardineford::standins {

namespace json = boost::json;
namespace names = platform::names;

namespace {

constexpr uint64_t MaxEvents = 20;
constexpr uint64_t MinEvents = 3;
constexpr size_t BodyRepeats = 20;
/// Interval at which a request checks whether its caller has disconnected.
constexpr Milliseconds DisconnectPollInterval{10};
constexpr std::string_view HealthPath = "/health";
/// Time from the first event of an answer to the end of the process.
constexpr Milliseconds CrashDelay{60};
/// The platform's servers are back in the store within two seconds of the end
/// of an outage.
constexpr Milliseconds StoreTimeout{1'000};

/// Speeds of an engine that is fast enough for tests.
EngineSpeed testSpeed(Milliseconds step) {
  EngineSpeed s;
  s.PrefillTokensPerSecond = 200'000;
  s.StepBase = step;
  s.StepPerSequence = Microseconds(100);
  s.TotalPieces = 100'000;
  // A prompt that is prefilled again takes one step, also if steps are long.
  s.DecodeRoleChunk = 1'000;
  return s;
}

int64_t wallMilliseconds() {
  return std::chrono::duration_cast<Milliseconds>(
             WallClock::now().time_since_epoch())
      .count();
}

} // namespace

std::string expectedEvent(const std::string &streamId, uint64_t event,
                          const std::string &version) {
  uint64_t data = hash64(streamId + "/" + version, event);
  return "id: " + std::to_string(event) + "\ndata: " + std::to_string(data) +
         "\n\n";
}

std::string expectedBody(const std::string &requestId) {
  std::string out;
  for (size_t i = 0; i < BodyRepeats; ++i)
    out += std::to_string(hash64(requestId, i));
  return out;
}

uint64_t expectedEvents(const std::string &streamId) {
  return MinEvents + hash64(streamId) % (MaxEvents - MinEvents);
}

PlatformWorker::PlatformWorker(IoContext &io, PlatformWorkerOptions options)
    : Io(io), Options(std::move(options)), Client(io),
      Listener(io, http::ServerOptions{.Listen = Options.Listen},
               [this](http::Request &r, http::ResponseWriter &out) {
                 return handle(r, out);
               }),
      ActiveBatch(io, testSpeed(Options.StepTime), 1),
      HistoryFile(Options.History, std::ios::app),
      StartedAtMs(wallMilliseconds()) {
  ActiveBatch.Role = Options.Stage == names::PrefillStage ? EngineRole::Prefill
                                                          : EngineRole::Decode;
}

void PlatformWorker::start() {
  Listener.start();
  spawn(Io, "heartbeat", [this] { return heartbeat(); });
}

void PlatformWorker::recordEvent(const std::string &id, const char *action) {
  HistoryFile << json::serialize(json::object{{"time_ms", wallMilliseconds()},
                                              {"server", Options.Id},
                                              {"version", Options.Version},
                                              {"request", id},
                                              {"what", action}})
              << "\n"
              << std::flush;
}

Awaitable<void> PlatformWorker::writeEntry() {
  json::object spec = {
      {"service", Options.Service},
      {"address", http::toString(Options.Advertise)},
      {"zone", Options.FailureDomain},
      {"version", Options.Version},
      {"slots", Options.Slots},
      {"state",
       std::string_view(Draining ? names::DrainingState : names::ReadyState)},
      {"coldRemainingMs", 0},
      {"born", StartedAtMs},
      {"sequence", 0}};
  if (!Options.Stage.empty())
    spec["stage"] = Options.Stage;
  http::Request r;
  r.Body = json::serialize(
      json::object{{"metadata", {{"name", Options.Id}}}, {"spec", spec}});
  r.Fields.add("Content-Type", "application/json");
  std::string kind =
      std::string(names::ObjectsPath) + std::string(names::ServersKind);
  r.Method = "PUT";
  r.Target = kind + "/" + Options.Id;
  http::CallOptions options;
  options.Timeout = StoreTimeout;
  http::Response response = co_await Client.call(Options.Store, r, options);
  if (response.Status != 404)
    co_return;
  r.Method = "POST";
  r.Target = kind;
  co_await Client.call(Options.Store, r, options);
}

Awaitable<void> PlatformWorker::heartbeat() {
  for (;;) {
    try {
      if (!isWithin(Options.NoHeartbeatFrom, Options.NoHeartbeatLength))
        co_await writeEntry();
    } catch (const Error &) {
      // The store is unavailable; the next heartbeat retries.
      recordEvent("", "heartbeat failed");
    }
    co_await sleepFor(Options.Heartbeat);
  }
}

Awaitable<void> PlatformWorker::drainAndStop() {
  Draining = true;
  recordEvent("", "draining");
  try {
    co_await writeEntry();
  } catch (const Error &) {
    recordEvent("", "draining, entry not written");
  }
  co_await sleepFor(Options.DrainTime);
  while (Listener.openRequests() > 0)
    co_await sleepFor(Milliseconds(20));
  Io.stop();
}

http::Response PlatformWorker::makeResponse(unsigned status,
                                            const std::string &id,
                                            std::string body) const {
  http::Response r;
  r.Status = status;
  if (!id.empty())
    r.Fields.add(std::string(names::RequestId), id);
  r.Fields.add(std::string(names::ServerSeal), "stand-in");
  if (!Options.LoadHeader.empty())
    r.Fields.add(std::string(names::ServerLoad), Options.LoadHeader);
  if (Options.Limit.PerSecond >= 0 &&
      isWithin(Options.Limit.From, Options.Limit.Length))
    r.Fields.add(std::string(names::ServerLimit),
                 std::to_string(Options.Limit.PerSecond));
  bool leaves = Options.LeavesAfter >= Milliseconds(0) &&
                MonoClock::now() >= StartedAt + Options.LeavesAfter;
  if (leaves)
    r.Fields.add(std::string(names::ServerLeaving), "1");
  r.Body = std::move(body);
  return r;
}

http::Response PlatformWorker::makeRejection(const std::string &id) const {
  http::Response r = makeResponse(503, Options.Sheds.HasId ? id : "", "");
  r.Fields.add(std::string(names::NotExecuted), "1");
  if (isWithin(Options.Rejects.From, Options.Rejects.Length))
    r.Fields.add("Retry-After", Options.Rejects.RetryAfter);
  return r;
}

bool PlatformWorker::shedsNext() {
  ++ArrivalCount;
  return Options.Sheds.Every > 0 && ArrivalCount % Options.Sheds.Every == 0;
}

bool PlatformWorker::isWithin(Milliseconds from, Milliseconds length) const {
  Milliseconds age = toMilliseconds(MonoClock::now() - StartedAt);
  return age >= from && age < from + length;
}

Awaitable<void> PlatformWorker::handle(http::Request &request,
                                       http::ResponseWriter &out) {
  std::string id = request.Fields.find(names::RequestId).value_or("");
  std::optional<std::string> expectedInstance =
      request.Fields.find(names::ExpectInstance);
  bool prefillOnly = request.Fields.find(names::Stage).has_value();
  bool isHealthCheck = http::pathOf(request.Target) == HealthPath;
  bool wrongStage = !Options.Stage.empty() && !isHealthCheck &&
                    prefillOnly != (Options.Stage == names::PrefillStage);
  if (expectedInstance.value_or("") != Options.Id || wrongStage) {
    http::Response r = makeResponse(http::StatusMisdirected, id, "");
    r.Fields.add(std::string(names::InstanceId), Options.Id);
    co_await out.send(std::move(r));
    co_return;
  }
  if (isHealthCheck) {
    if (shedsNext()) {
      co_await out.send(makeRejection(id));
      co_return;
    }
    http::Response r = makeResponse(Draining ? 503 : 200, id, "");
    r.Fields.add(std::string(names::InstanceId), Options.Id);
    co_await out.send(std::move(r));
    co_return;
  }
  recordEvent(id, "arrival");
  if (request.Fields.find(names::Key))
    recordEvent(id, "with a key");
  if (std::optional<std::string> workspace = request.Fields.find(names::Tenant))
    recordEvent(id, ("for " + *workspace).c_str());
  bool isPushedBack = !Options.Rejects.RetryAfter.empty() &&
                      isWithin(Options.Rejects.From, Options.Rejects.Length);
  if (isPushedBack || shedsNext() || Listener.openRequests() > Options.Slots) {
    http::Response r = makeRejection(id);
    co_await out.send(std::move(r));
    co_return;
  }
  co_await crashOnPath(request, id);
  if (Options.Stage.empty())
    co_await serveRequest(id, out);
  else if (prefillOnly)
    co_await prefill(request, id, out);
  else
    co_await serveStream(request, id, out);
}

Awaitable<void> PlatformWorker::serveRequest(const std::string &id,
                                             http::ResponseWriter &out) {
  recordEvent(id, "run");
  bool disconnected = false;
  out.onPeerDisconnected([&] { disconnected = true; });
  MonoTime end = MonoClock::now() + Options.WorkTime;
  while (!disconnected && MonoClock::now() < end)
    co_await sleepFor(std::min(DisconnectPollInterval, Options.WorkTime));
  out.onPeerDisconnected({});
  if (disconnected) {
    recordEvent(id, "cancelled");
    out.abort();
    co_return;
  }
  http::Response r = makeResponse(200, id, expectedBody(id));
  co_await out.send(std::move(r));
}

Awaitable<void> PlatformWorker::crashOnPath(const http::Request &request,
                                            const std::string &id) {
  if (Options.CrashingPath.empty() || request.Target != Options.CrashingPath)
    co_return;
  recordEvent(id, "run");
  co_await sleepFor(CrashDelay);
  recordEvent(id, "crash");
  std::_Exit(1);
}

void PlatformWorker::crashIfPromptCrashes(const http::Request &request,
                                          const std::string &id) {
  std::string parts =
      "," + request.Fields.find(names::PromptPrefix).value_or("");
  if (Options.CrashingPart.empty() ||
      parts.find("," + Options.CrashingPart + ":") == std::string::npos)
    return;
  spawn(Io, "crash", [this, id]() -> Awaitable<void> {
    co_await sleepFor(CrashDelay);
    recordEvent(id, "crash");
    std::_Exit(1);
  });
}

SequencePtr PlatformWorker::makeSequence(const http::Request &request,
                                         const std::string &id,
                                         const std::string &streamId) const {
  auto s = std::make_shared<Sequence>();
  s->RequestId = id;
  s->AttemptId = id + "." + std::to_string(AttemptCount);
  s->PromptTokens = std::strtoull(
      request.Fields.find(names::TokenCounts).value_or("1").c_str(), nullptr,
      10);
  s->EndToken = expectedEvents(streamId);
  s->ReaderConnected = true;
  return s;
}

Awaitable<void> PlatformWorker::prefill(const http::Request &request,
                                        const std::string &id,
                                        http::ResponseWriter &out) {
  ++AttemptCount;
  SequencePtr s = makeSequence(request, id, id);
  s->PrefillOnly = true;
  bool disconnected = false;
  out.onPeerDisconnected([&disconnected, s] {
    disconnected = true;
    s->Changed->cancel();
  });
  ActiveBatch.add(s);
  while (!s->Finished && !s->Cancelled && !disconnected)
    co_await s->Changed->async_wait(
        boost::asio::as_tuple(boost::asio::use_awaitable));
  if (disconnected) {
    ActiveBatch.cancel(s);
    recordEvent(id, "cancelled");
    out.abort();
    co_return;
  }
  std::string handle = makeId();
  KvHandles[handle] = id;
  recordEvent(id, "prefill");
  http::Response r =
      makeResponse(200, id,
                   json::serialize(json::object{{"kvHandleId", handle},
                                                {"tokens", s->PromptTokens},
                                                {"version", 1}}));
  co_await out.send(std::move(r));
}

Awaitable<void> PlatformWorker::serveStream(const http::Request &request,
                                            const std::string &id,
                                            http::ResponseWriter &out) {
  ++AttemptCount;
  std::optional<std::string> source = request.Fields.find(names::KvSource);
  std::string streamId = request.Fields.find(ResumesHeader).value_or(id);
  SequencePtr s = makeSequence(request, id, streamId);
  // The format is "IP:PORT/HANDLE"; the stand-in simulates no transfer time.
  s->Prefilled = source && source->find('/') != std::string::npos;
  uint64_t from = std::strtoull(
      request.Fields.find(names::LastEventId).value_or("0").c_str(), nullptr,
      10);
  s->NextToken = from;
  bool disconnected = false;
  out.onPeerDisconnected([&disconnected, s] {
    disconnected = true;
    s->Changed->cancel();
  });
  ActiveBatch.add(s);
  http::Response head = makeResponse(200, id, "");
  head.Fields.add("Content-Type", "text/event-stream");
  uint64_t sent = from;
  while (sent < s->EndToken && !s->Cancelled && !disconnected) {
    if (s->NextToken <= sent) {
      co_await s->Changed->async_wait(
          boost::asio::as_tuple(boost::asio::use_awaitable));
      continue;
    }
    if (!out.started()) {
      recordEvent(id, "run");
      crashIfPromptCrashes(request, id);
      co_await out.startStream(head);
    }
    std::string events;
    for (; sent < s->NextToken; ++sent)
      events += expectedEvent(streamId, sent + 1, Options.Version);
    co_await out.write(std::move(events));
  }
  if (disconnected || s->Cancelled) {
    ActiveBatch.cancel(s);
    recordEvent(id, "cancelled");
    out.abort();
    co_return;
  }
  if (!out.started())
    co_await out.startStream(head);
  co_await out.finish();
  recordEvent(id, "ended");
}

} // namespace sardineford::standins
