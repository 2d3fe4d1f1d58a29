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
constexpr Milliseconds SnapshotInterval{25};

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
      ActiveBatch(io, Options.Speed, Options.TimeScale), Incarnation(makeId()) {
  ActiveBatch.Role = Options.InitialRole;
}

void Engine::start() {
  Listener.start();
  Recorder.record({.Kind = EventKind::ProcessStarted, .Detail = Incarnation});
  spawn(Io, "snapshots", [this] { return takeSnapshots(); });
}

void Engine::recordEvent(EventKind kind, const SequencePtr &s,
                         std::string detail) {
  Recorder.record({.Kind = kind,
                   .Request = s->RequestId,
                   .Attempt = s->AttemptId,
                   .Engine = Options.Name,
                   .Detail = std::move(detail)});
}

std::optional<http::Response> Engine::rejection() const {
  if (OrderRunning)
    return makeRejection("busy with an order");
  if (Leaving)
    return makeRejection("leaving");
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
    co_await out.send(delayedReport());
  else if (path == "/v1/orders")
    co_await out.send(co_await order(request));
  else if (path == "/admin")
    co_await out.send(admin(request));
  else
    co_await out.send(makeError(404, "no such path"));
}

SequencePtr Engine::makeSequence(const json::object &body) {
  auto s = std::make_shared<Sequence>();
  std::string prompt = stringField(body, "prompt");
  s->AttemptId = stringField(body, "attempt");
  s->RequestId = stringField(body, "request");
  s->Model = stringField(body, "model");
  s->Priority = static_cast<int>(numberField(body, "priority"));
  s->PromptHash = hashPrompt(prompt);
  s->NextToken = s->FirstToken = numberField(body, "delivered");
  s->EndToken = outputLength(prompt, numberField(body, "max_tokens"));
  s->PromptTokens = countTokens(prompt) + s->FirstToken;
  size_t pieceBytes = Options.Speed.TokensPerPiece * BytesPerToken;
  for (size_t end = pieceBytes; end <= prompt.size(); end += pieceBytes)
    s->PrefixHashes.push_back(hash64(std::string_view(prompt).substr(0, end)));
  return s;
}

Awaitable<void> Engine::generate(const http::Request &request,
                                 http::ResponseWriter &out) {
  if (std::optional<http::Response> r = rejection()) {
    co_await out.send(std::move(*r));
    co_return;
  }
  json::object body = json::parse(request.Body).as_object();
  SequencePtr s = makeSequence(body);
  recordEvent(EventKind::EngineAccepted, s);
  if (const json::value *source = body.if_contains("kv_from"))
    s->Prefilled = co_await importKv(source->as_object(), s);
  if (s->NextToken >= s->EndToken)
    s->Finished = true;
  else
    ActiveBatch.add(s);
  co_await stream(s, s->FirstToken, out);
}

/// Fetches a key-value cache from another engine. Returns false if the engine
/// does not have it or cannot be reached.
Awaitable<bool> Engine::importKv(const json::object &source, SequencePtr s) {
  http::Request request;
  request.Target = "/v1/kv/" + stringField(source, "handle");
  bool found = false;
  try {
    http::Endpoint endpoint =
        http::parseEndpoint(stringField(source, "endpoint"));
    http::Response r = co_await Client.call(endpoint, std::move(request));
    found = r.Status == 200;
  } catch (const Error &e) {
    log::warn(log::Category::StandIn, "cannot import the key-value cache: {}",
              e.what());
  }
  if (found) {
    auto n = static_cast<int64_t>(s->PromptTokens);
    co_await sleepFor(
        ActiveBatch.scaled(Options.Speed.KvImportPerThousandTokens * n / 1000));
  }
  co_return found;
}

Awaitable<void> Engine::prefill(const http::Request &request,
                                http::ResponseWriter &out) {
  if (std::optional<http::Response> r = rejection()) {
    co_await out.send(std::move(*r));
    co_return;
  }
  SequencePtr s = makeSequence(json::parse(request.Body).as_object());
  s->PrefillOnly = true;
  s->ReaderConnected = true;
  recordEvent(EventKind::EngineAccepted, s, "prefill");
  ActiveBatch.add(s);
  out.onPeerDisconnected([this, s] {
    if (!s->Finished)
      ActiveBatch.cancel(s);
  });
  while (!s->Finished && !s->Cancelled)
    co_await s->Changed->async_wait(asio::as_tuple(asio::use_awaitable));
  ActiveBatch.remove(s->AttemptId);
  if (s->Cancelled) {
    out.abort();
    co_return;
  }
  recordEvent(EventKind::EngineFinished, s, "prefill");
  ExportedKv[s->AttemptId] = s;
  json::object handle = {{"handle", s->AttemptId},
                         {"cached_tokens", s->CachedTokens}};
  co_await out.send(makeResponse(200, std::move(handle)));
}

http::Response Engine::exportKv(std::string_view handle) {
  auto it = ExportedKv.find(std::string(handle));
  if (it == ExportedKv.end())
    return makeResponse(404, {{"error", "no such cache"}});
  ExportedKv.erase(it);
  return makeResponse(200, {{"ok", true}});
}

/// Stops a running stream and keeps its key-value cache, so that another engine
/// can continue the stream.
Awaitable<http::Response> Engine::exportStream(const http::Request &request) {
  json::object body = json::parse(request.Body).as_object();
  SequencePtr s = ActiveBatch.find(stringField(body, "attempt"));
  if (!s || s->Finished)
    co_return makeError(404, "no such stream");
  uint64_t generated = s->NextToken;
  ExportedKv[s->AttemptId] = s;
  recordEvent(EventKind::EngineFinished, s, "exported");
  ActiveBatch.cancel(s);
  json::object handle = {{"handle", s->AttemptId}, {"generated", generated}};
  co_return makeResponse(200, std::move(handle));
}

Awaitable<void> Engine::resume(const http::Request &request,
                               http::ResponseWriter &out) {
  std::string_view path = http::pathOf(request.Target);
  std::string attempt(path.substr(std::string_view("/v1/streams/").size()));
  SequencePtr s = ActiveBatch.find(attempt);
  if (!s) {
    co_await out.send(makeError(404, "no such stream"));
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
  s->ReaderConnected = true;
  auto markDisconnected = [s] {
    s->ReaderConnected = false;
    s->DisconnectedAt = MonoClock::now();
  };
  out.onPeerDisconnected(markDisconnected);
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
    markDisconnected();
    throw;
  }
  if (s->Cancelled) {
    out.abort();
    co_return;
  }
  ActiveBatch.remove(s->AttemptId);
  recordEvent(EventKind::EngineFinished, s);
  co_await out.finish();
}

http::Response Engine::cancel(const http::Request &request) {
  json::object body = json::parse(request.Body).as_object();
  SequencePtr s = ActiveBatch.find(stringField(body, "attempt"));
  if (s) {
    recordEvent(EventKind::EngineFinished, s, "cancelled");
    ActiveBatch.cancel(s);
  }
  return makeResponse(200, {{"found", s != nullptr}});
}

std::string Engine::makeReport() const {
  BatchLoad l = ActiveBatch.load();
  json::array orders;
  for (const std::string &it : EndedOrders)
    orders.push_back(json::value(it));
  json::array prefixes;
  std::vector<uint64_t> cached = ActiveBatch.cachedPrefixes();
  size_t first = cached.size() > MaxReportedPrefixes
                     ? cached.size() - MaxReportedPrefixes
                     : 0;
  for (size_t i = first; i < cached.size(); ++i)
    prefixes.push_back(cached[i]);
  return json::serialize(
      json::object{{"engine", Options.Name},
                   {"incarnation", Incarnation},
                   {"role", toString(ActiveBatch.Role)},
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
    // Keeps the newest report that is at least as old as the lag.
    while (Snapshots.size() > 1 &&
           Snapshots[1].TakenAt + Options.ReportLag <= MonoClock::now())
      Snapshots.pop_front();
    co_await sleepFor(SnapshotInterval);
  }
}

http::Response Engine::delayedReport() const {
  if (Snapshots.empty())
    return http::jsonResponse(200, makeReport());
  return http::jsonResponse(200, Snapshots.front().Report);
}

} // namespace sardineford::standins
