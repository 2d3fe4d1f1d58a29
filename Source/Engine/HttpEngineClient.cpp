#include "Sardineford/Engine/HttpEngineClient.h"

#include "Sardineford/Http/Status.h"

#include <boost/json.hpp>

#include <charconv>

namespace sardineford::engine {

namespace json = boost::json;

namespace {

constexpr Milliseconds ConnectTimeout{500};
constexpr Milliseconds CancelTimeout{1'000};

json::object encodeAttempt(const Attempt &a) {
  json::object o = {{"request", a.Request},      {"attempt", a.Id},
                    {"model", a.Model},          {"prompt", a.Prompt},
                    {"max_tokens", a.MaxTokens}, {"delivered", a.Delivered},
                    {"priority", a.Priority}};
  if (a.From)
    o["kv_from"] = json::object{{"endpoint", http::toString(a.From->Engine)},
                                {"handle", a.From->Handle}};
  return o;
}

http::Request post(std::string path, std::string body) {
  http::Request r;
  r.Method = "POST";
  r.Target = std::move(path);
  r.Fields.add("Content-Type", "application/json");
  r.Body = std::move(body);
  return r;
}

EngineError fromTransport(const http::TransportError &e) {
  bool notSent = e.Stage == http::TransportStage::NothingSent;
  return {notSent ? EngineFailure::NotExecuted : EngineFailure::MayHaveExecuted,
          e.what()};
}

[[noreturn]] void throwStatus(unsigned status, const std::string &body) {
  if (status == http::StatusNotFound)
    throw EngineError(EngineFailure::StreamNotFound,
                      "the engine does not know it");
  if (status != http::StatusUnavailable)
    throw EngineError(EngineFailure::MayHaveExecuted,
                      "the engine answered " + std::to_string(status));
  bool leaving = body.find("leaving") != std::string::npos;
  throw EngineError(leaving ? EngineFailure::Leaving
                            : EngineFailure::NotExecuted,
                    "the engine takes no work");
}

routing::EngineState parseState(std::string_view text) {
  if (text == "changing")
    return routing::EngineState::Changing;
  return text == "leaving" ? routing::EngineState::Leaving
                           : routing::EngineState::Serving;
}

/// Tokens of an attempt, one line of JSON each.
class LineStream : public TokenStream {
public:
  explicit LineStream(std::unique_ptr<http::ResponseStream> body)
      : Body(std::move(body)) {}

  Awaitable<TokenBatch> read(Milliseconds timeout) override {
    TokenBatch out;
    std::string piece;
    try {
      piece = co_await Body->read(timeout);
    } catch (const http::TransportError &e) {
      throw EngineError(EngineFailure::MayHaveExecuted, e.what());
    }
    if (piece.empty())
      throw EngineError(EngineFailure::MayHaveExecuted,
                        "the stream ended before the answer did");
    Pending += piece;
    size_t start = 0;
    for (;;) {
      size_t end = Pending.find('\n', start);
      if (end == std::string::npos)
        break;
      takeLine(std::string_view(Pending).substr(start, end - start), out);
      start = end + 1;
    }
    Pending.erase(0, start);
    if (out.Total)
      co_await readEnd(timeout);
    co_return out;
  }

  void close() override { Body->close(); }

private:
  void takeLine(std::string_view line, TokenBatch &out) {
    Parser.reset();
    boost::system::error_code ec;
    Parser.write(line.data(), line.size(), ec);
    if (ec || !Parser.done())
      throw EngineError(EngineFailure::MayHaveExecuted,
                        "a line cannot be read");
    json::value v = Parser.release();
    const json::object &o = v.as_object();
    if (o.contains("done")) {
      out.Total = o.at("tokens").to_number<uint64_t>();
      return;
    }
    out.Tokens.push_back(
        {o.at("i").to_number<uint64_t>(), std::string(o.at("t").as_string())});
  }

  /// Reads the last chunk, so that the connection can be kept.
  Awaitable<void> readEnd(Milliseconds timeout) {
    try {
      co_await Body->read(timeout);
    } catch (const http::TransportError &) {
      Body->close();
    }
  }

  std::unique_ptr<http::ResponseStream> Body;
  std::string Pending;
  json::stream_parser Parser;
};

} // namespace

Awaitable<std::unique_ptr<TokenStream>>
HttpEngineClient::generate(http::Endpoint at, Attempt attempt,
                           Milliseconds timeout) {
  http::Request request =
      post("/v1/generate", json::serialize(encodeAttempt(attempt)));
  http::CallOptions options;
  options.ConnectTimeout = ConnectTimeout;
  options.Timeout = timeout;
  std::unique_ptr<http::ResponseStream> body;
  try {
    body = co_await Client.open(at, std::move(request), options);
  } catch (const http::TransportError &e) {
    throw fromTransport(e);
  }
  if (body->head().Status != http::StatusOk) {
    std::string text = co_await body->read(timeout);
    throwStatus(body->head().Status, text);
  }
  co_return std::make_unique<LineStream>(std::move(body));
}

Awaitable<std::unique_ptr<TokenStream>>
HttpEngineClient::resume(http::Endpoint at, std::string attempt,
                         uint64_t offset, Milliseconds timeout) {
  http::Request request;
  request.Target =
      "/v1/streams/" + attempt + "?offset=" + std::to_string(offset);
  http::CallOptions options;
  options.ConnectTimeout = ConnectTimeout;
  options.Timeout = timeout;
  options.FreshConnection = true;
  std::unique_ptr<http::ResponseStream> body;
  try {
    body = co_await Client.open(at, std::move(request), options);
  } catch (const http::TransportError &e) {
    throw fromTransport(e);
  }
  if (body->head().Status != http::StatusOk)
    throwStatus(body->head().Status, "");
  co_return std::make_unique<LineStream>(std::move(body));
}

Awaitable<http::Response> HttpEngineClient::call(http::Endpoint at,
                                                 std::string path,
                                                 std::string body,
                                                 http::CallOptions options) {
  options.ConnectTimeout = ConnectTimeout;
  http::Request request = post(std::move(path), std::move(body));
  try {
    co_return co_await Client.call(at, std::move(request), options);
  } catch (const http::TransportError &e) {
    throw fromTransport(e);
  }
}

Awaitable<KvHandle> HttpEngineClient::prefill(http::Endpoint at,
                                              Attempt attempt,
                                              Milliseconds timeout) {
  http::CallOptions options;
  options.Timeout = timeout;
  http::Response r = co_await call(
      at, "/v1/prefill", json::serialize(encodeAttempt(attempt)), options);
  if (r.Status != http::StatusOk)
    throwStatus(r.Status, r.Body);
  std::string handle =
      json::value_to<std::string>(json::parse(r.Body).at("handle"));
  co_return KvHandle{at, std::move(handle)};
}

Awaitable<KvHandle> HttpEngineClient::exportStream(http::Endpoint at,
                                                   std::string attempt,
                                                   Milliseconds timeout) {
  json::object body;
  body["attempt"] = attempt;
  http::CallOptions options;
  options.Timeout = timeout;
  http::Response r =
      co_await call(at, "/v1/export", json::serialize(body), options);
  if (r.Status != http::StatusOk)
    throwStatus(r.Status, r.Body);
  co_return KvHandle{at, std::move(attempt)};
}

Awaitable<void> HttpEngineClient::cancel(http::Endpoint at,
                                         std::string attempt) {
  json::object body;
  body["attempt"] = attempt;
  http::CallOptions options;
  options.Timeout = CancelTimeout;
  co_await call(at, "/v1/cancel", json::serialize(body), options);
}

Awaitable<LoadReport> HttpEngineClient::load(http::Endpoint at,
                                             Milliseconds timeout) {
  http::Request request;
  request.Target = "/v1/load";
  http::CallOptions options;
  options.ConnectTimeout = ConnectTimeout;
  options.Timeout = timeout;
  http::Response r;
  try {
    r = co_await Client.call(at, std::move(request), options);
  } catch (const http::TransportError &e) {
    throw fromTransport(e);
  }
  json::value v = json::parse(r.Body);
  auto number = [&](const char *name) {
    return v.at(name).to_number<uint64_t>();
  };
  LoadReport out;
  out.Incarnation = json::value_to<std::string>(v.at("incarnation"));
  out.Role = routing::parseRole(v.at("role").as_string());
  out.State = parseState(v.at("state").as_string());
  out.QueuedPrefillTokens = number("queued_prefill_tokens");
  out.Running = number("running");
  out.Waiting = number("waiting");
  out.UsedPieces = number("used_pieces");
  out.TotalPieces = number("total_pieces");
  out.EndedOrders =
      json::value_to<std::vector<std::string>>(v.at("ended_orders"));
  out.Prefixes = json::value_to<std::vector<uint64_t>>(v.at("cached_prefixes"));
  co_return out;
}

Awaitable<OrderOutcome> HttpEngineClient::order(http::Endpoint at,
                                                EngineOrder order,
                                                std::function<bool()> gate,
                                                Milliseconds timeout) {
  json::object body;
  body["id"] = order.Id;
  body["epoch"] = order.Epoch;
  body["kind"] = order.Kind == OrderKind::Fence ? "fence" : "role";
  body["role"] = routing::toString(order.Role);
  http::CallOptions options;
  options.Timeout = timeout;
  options.FreshConnection = true;
  options.BeforeSend = std::move(gate);
  http::Response r =
      co_await call(at, "/v1/orders", json::serialize(body), options);
  if (r.Status == http::StatusConflict)
    co_return OrderOutcome::StaleFencingNumber;
  if (r.Status == http::StatusUnavailable)
    co_return OrderOutcome::Busy;
  if (r.Status != http::StatusOk)
    throwStatus(r.Status, r.Body);
  co_return OrderOutcome::Done;
}

} // namespace sardineford::engine
