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

constexpr uint64_t MostEvents = 20;
constexpr uint64_t LeastEvents = 3;
constexpr size_t BodyRepeats = 20;
/// A plain call looks this often whether its caller has gone.
constexpr Milliseconds WorkPiece{10};
constexpr std::string_view HealthPath = "/health";

/// Engines that are fast enough for tests.
EngineSpeed testSpeed(Milliseconds step) {
  EngineSpeed s;
  s.PrefillTokensPerSecond = 200'000;
  s.StepBase = step;
  s.StepPerSequence = Microseconds(100);
  s.TotalPieces = 100'000;
  return s;
}

int64_t wallMilliseconds() {
  return std::chrono::duration_cast<Milliseconds>(
             WallClock::now().time_since_epoch())
      .count();
}

} // namespace

std::string expectedEvent(const std::string &requestId, uint64_t event) {
  uint64_t data = hash64(requestId, event);
  return "id: " + std::to_string(event) + "\ndata: " + std::to_string(data) +
         "\n\n";
}

std::string expectedBody(const std::string &requestId) {
  std::string out;
  for (size_t i = 0; i < BodyRepeats; ++i)
    out += std::to_string(hash64(requestId, i));
  return out;
}

uint64_t expectedEvents(const std::string &requestId) {
  return LeastEvents + hash64(requestId) % (MostEvents - LeastEvents);
}

PlatformWorker::PlatformWorker(IoContext &io, PlatformWorkerOptions options)
    : Io(io), Options(std::move(options)), Client(io),
      Listener(io, http::ServerOptions{.Listen = Options.Listen},
               [this](http::Request &r, http::ResponseWriter &out) {
                 return handle(r, out);
               }),
      Work(io, testSpeed(Options.StepTime), 1),
      Log(Options.History, std::ios::app), Born(wallMilliseconds()) {
  Work.Role = Options.Stage == names::PrefillStage ? EngineRole::Prefill
                                                   : EngineRole::Decode;
}

void PlatformWorker::start() {
  Listener.start();
  spawn(Io, "heartbeat", [this] { return heartbeat(); });
}

void PlatformWorker::note(const std::string &id, const char *what) {
  Log << json::serialize(json::object{{"time_ms", wallMilliseconds()},
                                      {"server", Options.Id},
                                      {"request", id},
                                      {"what", what}})
      << "\n"
      << std::flush;
}

Awaitable<void> PlatformWorker::writeEntry() {
  json::object spec = {
      {"service", Options.Service},
      {"address", http::toString(Options.Advertise)},
      {"zone", Options.FailureDomain},
      {"version", "v1"},
      {"slots", Options.Slots},
      {"state",
       std::string_view(Draining ? names::DrainingState : names::ReadyState)},
      {"coldRemainingMs", 0},
      {"born", Born},
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
  http::Response answered = co_await Client.call(Options.Store, r);
  if (answered.Status != 404)
    co_return;
  r.Method = "POST";
  r.Target = kind;
  co_await Client.call(Options.Store, r);
}

Awaitable<void> PlatformWorker::heartbeat() {
  for (;;) {
    try {
      co_await writeEntry();
    } catch (const Error &) {
      // The store is away; the next heartbeat tries again.
      note("", "heartbeat lost");
    }
    co_await sleepFor(Options.Heartbeat);
  }
}

Awaitable<void> PlatformWorker::drainAndStop() {
  Draining = true;
  note("", "draining");
  try {
    co_await writeEntry();
  } catch (const Error &) {
    note("", "draining, not told");
  }
  co_await sleepFor(Options.DrainTime);
  while (Listener.openRequests() > 0)
    co_await sleepFor(Milliseconds(20));
  Io.stop();
}

http::Response PlatformWorker::answer(unsigned status, const std::string &id,
                                      std::string body) const {
  http::Response r;
  r.Status = status;
  r.Fields.add(std::string(names::RequestId), id);
  r.Fields.add(std::string(names::ServerSeal), "stand-in");
  r.Body = std::move(body);
  return r;
}

Awaitable<void> PlatformWorker::handle(http::Request &request,
                                       http::ResponseWriter &out) {
  std::string id = request.Fields.find(names::RequestId).value_or("");
  std::optional<std::string> meant = request.Fields.find(names::ExpectInstance);
  bool prefillOnly = request.Fields.find(names::Stage).has_value();
  bool wrongStage = !Options.Stage.empty() &&
                    prefillOnly != (Options.Stage == names::PrefillStage);
  if (meant.value_or("") != Options.Id || wrongStage) {
    http::Response r = answer(http::StatusMisdirected, id, "");
    r.Fields.add(std::string(names::InstanceId), Options.Id);
    co_await out.send(std::move(r));
    co_return;
  }
  if (http::pathOf(request.Target) == HealthPath) {
    http::Response r = answer(Draining ? 503 : 200, id, "");
    r.Fields.add(std::string(names::InstanceId), Options.Id);
    co_await out.send(std::move(r));
    co_return;
  }
  if (Listener.openRequests() > Options.Slots) {
    http::Response r = answer(503, id, "");
    r.Fields.add(std::string(names::NotExecuted), "1");
    co_await out.send(std::move(r));
    co_return;
  }
  if (Options.Stage.empty())
    co_await runPlain(id, out);
  else if (prefillOnly)
    co_await prefill(request, id, out);
  else
    co_await runStream(request, id, out);
}

Awaitable<void> PlatformWorker::runPlain(const std::string &id,
                                         http::ResponseWriter &out) {
  note(id, "run");
  bool gone = false;
  out.onPeerDisconnected([&] { gone = true; });
  MonoTime end = MonoClock::now() + Options.WorkTime;
  while (!gone && MonoClock::now() < end)
    co_await sleepFor(std::min(WorkPiece, Options.WorkTime));
  out.onPeerDisconnected({});
  if (gone) {
    note(id, "cancelled");
    out.abort();
    co_return;
  }
  http::Response r = answer(200, id, expectedBody(id));
  co_await out.send(std::move(r));
}

SequencePtr PlatformWorker::makeSequence(const http::Request &request,
                                         const std::string &id) const {
  auto s = std::make_shared<Sequence>();
  s->RequestId = id;
  s->AttemptId = id + "." + std::to_string(Attempts);
  s->PromptTokens = std::strtoull(
      request.Fields.find(names::TokenCounts).value_or("1").c_str(), nullptr,
      10);
  s->EndToken = expectedEvents(id);
  s->ReaderConnected = true;
  return s;
}

Awaitable<void> PlatformWorker::prefill(const http::Request &request,
                                        const std::string &id,
                                        http::ResponseWriter &out) {
  ++Attempts;
  SequencePtr s = makeSequence(request, id);
  s->PrefillOnly = true;
  bool gone = false;
  out.onPeerDisconnected([&gone, s] {
    gone = true;
    s->Changed->cancel();
  });
  Work.add(s);
  while (!s->Finished && !s->Cancelled && !gone)
    co_await s->Changed->async_wait(
        boost::asio::as_tuple(boost::asio::use_awaitable));
  if (gone) {
    Work.cancel(s);
    note(id, "cancelled");
    out.abort();
    co_return;
  }
  std::string handle = makeId();
  Handles[handle] = id;
  note(id, "prefill");
  http::Response r =
      answer(200, id,
             json::serialize(json::object{{"kvHandleId", handle},
                                          {"tokens", s->PromptTokens},
                                          {"version", 1}}));
  co_await out.send(std::move(r));
}

Awaitable<void> PlatformWorker::runStream(const http::Request &request,
                                          const std::string &id,
                                          http::ResponseWriter &out) {
  ++Attempts;
  std::optional<std::string> source = request.Fields.find(names::KvSource);
  SequencePtr s = makeSequence(request, id);
  // "IP:PORT/HANDLE"; the transfer itself takes no time here.
  s->Prefilled = source && source->find('/') != std::string::npos;
  uint64_t from = std::strtoull(
      request.Fields.find(names::LastEventId).value_or("0").c_str(), nullptr,
      10);
  s->NextToken = from;
  bool gone = false;
  out.onPeerDisconnected([&gone, s] {
    gone = true;
    s->Changed->cancel();
  });
  Work.add(s);
  http::Response head = answer(200, id, "");
  head.Fields.add("Content-Type", "text/event-stream");
  uint64_t sent = from;
  while (sent < s->EndToken && !s->Cancelled && !gone) {
    if (s->NextToken <= sent) {
      co_await s->Changed->async_wait(
          boost::asio::as_tuple(boost::asio::use_awaitable));
      continue;
    }
    if (!out.started()) {
      note(id, "run");
      co_await out.startStream(head);
    }
    std::string events;
    for (; sent < s->NextToken; ++sent)
      events += expectedEvent(id, sent + 1);
    co_await out.write(std::move(events));
  }
  if (gone || s->Cancelled) {
    Work.cancel(s);
    note(id, "cancelled");
    out.abort();
    co_return;
  }
  if (!out.started())
    co_await out.startStream(head);
  co_await out.finish();
  note(id, "ended");
}

} // namespace sardineford::standins
