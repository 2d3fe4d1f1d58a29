#include "StandIns/Engine/Engine.h"

#include "Sardineford/Common/Log.h"
#include "Sardineford/Common/Random.h"
#include "StandIns/Engine/Reply.h"
#include "StandIns/Engine/Text.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <charconv>

namespace sardineford::standins {

namespace asio = boost::asio;
namespace json = boost::json;
using timeline::EventKind;

namespace {

constexpr size_t MaxReportedPrefixes = 16;
constexpr size_t BytesPerToken = 4;
constexpr Milliseconds SnapshotEvery{25};

} // namespace

namespace {

std::string tokenLine(const Sequence &s, uint64_t index) {
  json::object line = {{"i", index},
                       {"t", tokenAt(s.Model, s.PromptHash, index)}};
  return json::serialize(line) + "\n";
}

} // namespace

std::string_view toString(EngineRole r) {
  switch (r) {
  case EngineRole::Prefill:
    return "prefill";
  case EngineRole::Decode:
    return "decode";
  case EngineRole::Mixed:
    return "mixed";
  }
  return "mixed";
}

EngineRole parseEngineRole(std::string_view text) {
  if (text == "prefill")
    return EngineRole::Prefill;
  return text == "decode" ? EngineRole::Decode : EngineRole::Mixed;
}

Engine::Engine(IoContext &io, EngineOptions options,
               timeline::Recorder &recorder)
    : Io(io), Options(std::move(options)), Recorder(recorder), Client(io),
      Listener(io, http::ServerOptions{.Listen = Options.Listen},
               [this](http::Request &request, http::ResponseWriter &out) {
                 return handle(request, out);
               }),
      Work(io, Options.Speed, Options.TimeScale), Incarnation(makeId()) {
  Work.Role = Options.InitialRole;
}

void Engine::start() {
  Listener.start();
  Recorder.record({.Kind = EventKind::ProcessStarted, .Detail = Incarnation});
  spawn(Io, "snapshots", [this] { return takeSnapshots(); });
}

void Engine::note(EventKind kind, const SequencePtr &s, std::string detail) {
  Recorder.record({.Kind = kind,
                   .Request = s->Request,
                   .Attempt = s->Attempt,
                   .Engine = Options.Name,
                   .Detail = std::move(detail)});
}

std::optional<http::Response> Engine::refusal() const {
  if (OrderRunning)
    return refuse("busy with an order");
  if (Leaving)
    return refuse("leaving");
  return std::nullopt;
}

Awaitable<void> Engine::handle(http::Request &request,
                               http::ResponseWriter &out) {
  std::string_view path = http::pathOf(request.Target);
  if (path == "/v1/generate")
    co_await generate(request, out);
  else if (path == "/v1/prefill")
    co_await prefill(request, out);
  else if (path.starts_with("/v1/streams/"))
    co_await resume(request, out);
  else if (path.starts_with("/v1/kv/"))
    co_await out.send(
        exportKv(path.substr(std::string_view("/v1/kv/").size())));
  else if (path == "/v1/export")
    co_await out.send(co_await exportStream(request));
  else if (path == "/v1/cancel")
    co_await out.send(cancel(request));
  else if (path == "/v1/load")
    co_await out.send(laggingReport());
  else if (path == "/v1/orders")
    co_await out.send(co_await order(request));
  else if (path == "/admin")
    co_await out.send(admin(request));
  else
    co_await out.send(failure(404, "no such path"));
}

SequencePtr Engine::makeSequence(const json::object &body) {
  auto s = std::make_shared<Sequence>();
  std::string prompt = textOf(body, "prompt");
  s->Attempt = textOf(body, "attempt");
  s->Request = textOf(body, "request");
  s->Model = textOf(body, "model");
  s->Priority = static_cast<int>(numberOf(body, "priority"));
  s->PromptHash = hashPrompt(prompt);
  s->NextToken = s->FirstToken = numberOf(body, "delivered");
  s->EndToken = outputLength(prompt, numberOf(body, "max_tokens"));
  s->PromptTokens = countTokens(prompt) + s->FirstToken;
  size_t pieceBytes = Options.Speed.TokensPerPiece * BytesPerToken;
  for (size_t end = pieceBytes; end <= prompt.size(); end += pieceBytes)
    s->PrefixHashes.push_back(hash64(std::string_view(prompt).substr(0, end)));
  return s;
}

Awaitable<void> Engine::generate(const http::Request &request,
                                 http::ResponseWriter &out) {
  if (std::optional<http::Response> r = refusal()) {
    co_await out.send(std::move(*r));
    co_return;
  }
  json::object body = json::parse(request.Body).as_object();
  SequencePtr s = makeSequence(body);
  note(EventKind::EngineAccepted, s);
  if (const json::value *from = body.if_contains("kv_from"))
    s->Prefilled = co_await importKv(from->as_object(), s);
  if (s->NextToken >= s->EndToken)
    s->Finished = true;
  else
    Work.add(s);
  co_await stream(s, s->FirstToken, out);
}

/// Fetches a key-value cache from another engine; false when it is gone.
Awaitable<bool> Engine::importKv(const json::object &from, SequencePtr s) {
  http::Request request;
  request.Target = "/v1/kv/" + textOf(from, "handle");
  bool found = false;
  try {
    http::Endpoint at = http::parseEndpoint(textOf(from, "endpoint"));
    http::Response r = co_await Client.call(at, std::move(request));
    found = r.Status == 200;
  } catch (const Error &e) {
    log::warn(log::Category::StandIn, "import of a cache: {}", e.what());
  }
  if (found) {
    auto n = static_cast<int64_t>(s->PromptTokens);
    co_await sleepFor(
        Work.scaled(Options.Speed.KvImportPerThousandTokens * n / 1000));
  }
  co_return found;
}

Awaitable<void> Engine::prefill(const http::Request &request,
                                http::ResponseWriter &out) {
  if (std::optional<http::Response> r = refusal()) {
    co_await out.send(std::move(*r));
    co_return;
  }
  SequencePtr s = makeSequence(json::parse(request.Body).as_object());
  s->PrefillOnly = true;
  s->Attached = true;
  note(EventKind::EngineAccepted, s, "prefill");
  Work.add(s);
  out.onPeerDisconnected([this, s] {
    if (!s->Finished)
      Work.cancel(s);
  });
  while (!s->Finished && !s->Cancelled)
    co_await s->Changed->async_wait(asio::as_tuple(asio::use_awaitable));
  Work.forget(s->Attempt);
  if (s->Cancelled) {
    out.abort();
    co_return;
  }
  note(EventKind::EngineFinished, s, "prefill");
  Exported[s->Attempt] = s;
  json::object handle = {{"handle", s->Attempt},
                         {"cached_tokens", s->CachedTokens}};
  co_await out.send(answer(200, std::move(handle)));
}

http::Response Engine::exportKv(std::string_view handle) {
  auto it = Exported.find(std::string(handle));
  if (it == Exported.end())
    return answer(404, {{"error", "no such cache"}});
  Exported.erase(it);
  return answer(200, {{"ok", true}});
}

/// Stops a running stream here so that another engine can go on with it.
Awaitable<http::Response> Engine::exportStream(const http::Request &request) {
  json::object body = json::parse(request.Body).as_object();
  SequencePtr s = Work.find(textOf(body, "attempt"));
  if (!s || s->Finished)
    co_return failure(404, "no such stream");
  uint64_t generated = s->NextToken;
  Exported[s->Attempt] = s;
  note(EventKind::EngineFinished, s, "exported");
  Work.cancel(s);
  json::object handle = {{"handle", s->Attempt}, {"generated", generated}};
  co_return answer(200, std::move(handle));
}

Awaitable<void> Engine::resume(const http::Request &request,
                               http::ResponseWriter &out) {
  std::string_view path = http::pathOf(request.Target);
  std::string attempt(path.substr(std::string_view("/v1/streams/").size()));
  SequencePtr s = Work.find(attempt);
  if (!s) {
    co_await out.send(failure(404, "no such stream"));
    co_return;
  }
  std::string offset = http::queryOf(request.Target, "offset").value_or("0");
  uint64_t from = 0;
  std::from_chars(offset.data(), offset.data() + offset.size(), from);
  co_await stream(s, std::max(from, s->FirstToken), out);
}

Awaitable<void> Engine::stream(SequencePtr s, uint64_t from,
                               http::ResponseWriter &out) {
  http::Response head;
  head.Fields.add("Content-Type", "application/x-ndjson");
  s->Attached = true;
  auto detach = [s] {
    s->Attached = false;
    s->DetachedAt = MonoClock::now();
  };
  out.onPeerDisconnected(detach);
  try {
    co_await out.startStream(std::move(head));
    for (uint64_t sent = from;;) {
      std::string lines;
      for (; sent < s->NextToken; ++sent)
        lines += tokenLine(*s, sent);
      if (s->Finished)
        lines +=
            "{\"done\":true,\"tokens\":" + std::to_string(s->EndToken) + "}\n";
      co_await out.write(std::move(lines));
      if (s->Finished || s->Cancelled)
        break;
      if (sent == s->NextToken)
        co_await s->Changed->async_wait(asio::as_tuple(asio::use_awaitable));
    }
  } catch (const std::exception &) {
    detach();
    throw;
  }
  if (s->Cancelled) {
    out.abort();
    co_return;
  }
  Work.forget(s->Attempt);
  note(EventKind::EngineFinished, s);
  co_await out.finish();
}

http::Response Engine::cancel(const http::Request &request) {
  json::object body = json::parse(request.Body).as_object();
  SequencePtr s = Work.find(textOf(body, "attempt"));
  if (s) {
    note(EventKind::EngineFinished, s, "cancelled");
    Work.cancel(s);
  }
  return answer(200, {{"found", s != nullptr}});
}

std::string Engine::makeReport() const {
  BatchLoad l = Work.load();
  json::array orders;
  for (const std::string &it : EndedOrders)
    orders.push_back(json::value(it));
  json::array prefixes;
  std::vector<uint64_t> cached = Work.cachedPrefixes();
  size_t first = cached.size() > MaxReportedPrefixes
                     ? cached.size() - MaxReportedPrefixes
                     : 0;
  for (size_t i = first; i < cached.size(); ++i)
    prefixes.push_back(cached[i]);
  return json::serialize(
      json::object{{"engine", Options.Name},
                   {"incarnation", Incarnation},
                   {"role", toString(Work.Role)},
                   {"state", OrderRunning ? "changing"
                             : Leaving    ? "leaving"
                                          : "serving"},
                   {"queued_prefill_tokens", l.QueuedPrefillTokens},
                   {"running", l.Running},
                   {"waiting", l.Waiting},
                   {"used_pieces", l.UsedPieces},
                   {"total_pieces", Options.Speed.TotalPieces},
                   {"epoch", HighestEpoch},
                   {"ended_orders", orders},
                   {"cached_prefixes", prefixes}});
}

Awaitable<void> Engine::takeSnapshots() {
  for (;;) {
    Snapshots.push_back({MonoClock::now(), makeReport()});
    // Keeps the one report that is just older than the lag.
    while (Snapshots.size() > 1 &&
           Snapshots[1].At + Options.ReportLag <= MonoClock::now())
      Snapshots.pop_front();
    co_await sleepFor(SnapshotEvery);
  }
}

http::Response Engine::laggingReport() const {
  if (Snapshots.empty())
    return http::jsonResponse(200, makeReport());
  return http::jsonResponse(200, Snapshots.front().Report);
}

} // namespace sardineford::standins
