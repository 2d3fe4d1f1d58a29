#include "Sardineford/Engine/HttpEngineClient.h"

#include "Sardineford/Http/Status.h"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>

namespace sardineford::engine {

namespace json = boost::json;

namespace {

constexpr Milliseconds ConnectTimeout{500};
constexpr Milliseconds CancelTimeout{1'000};
/// Longest line of a stream.
constexpr size_t MaxLineBytes = size_t{256} * 1024;

json::object encodeAttempt(const Attempt &a) {
  json::object o = {{"request", a.RequestId},    {"attempt", a.Id},
                    {"model", a.Model},          {"prompt", a.Prompt},
                    {"max_tokens", a.MaxTokens}, {"delivered", a.Delivered},
                    {"priority", a.Priority}};
  if (a.KvSource)
    o["kv_from"] =
        json::object{{"endpoint", http::toString(a.KvSource->Engine)},
                     {"handle", a.KvSource->Handle}};
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

EngineError toEngineError(const http::TransportError &e) {
  bool nothingSent = e.Stage == http::TransportStage::NothingSent;
  return {nothingSent ? EngineFailure::NotExecuted
                      : EngineFailure::MayHaveExecuted,
          e.what()};
}

[[noreturn]] void throwStatus(unsigned status, const std::string &body) {
  if (status == http::StatusNotFound)
    throw EngineError(EngineFailure::StreamNotFound,
                      "the engine does not know the attempt");
  if (status != http::StatusUnavailable)
    throw EngineError(EngineFailure::MayHaveExecuted,
                      "the engine returned HTTP status " +
                          std::to_string(status));
  bool leaving = body.find("leaving") != std::string::npos;
  throw EngineError(leaving ? EngineFailure::Leaving
                            : EngineFailure::NotExecuted,
                    "the engine accepts no new work");
}

routing::EngineState parseState(std::string_view text) {
  if (text == "changing")
    return routing::EngineState::Changing;
  return text == "leaving" ? routing::EngineState::Leaving
                           : routing::EngineState::Serving;
}

/// Token stream with one JSON object per line.
class JsonLineStream : public TokenStream {
public:
  explicit JsonLineStream(std::unique_ptr<http::ResponseStream> body)
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
                        "the stream ended before the response was complete");
    // The line that is pending does not end before the new bytes.
    size_t searched = Pending.size();
    Pending += piece;
    size_t start = 0;
    for (;;) {
      size_t end = Pending.find('\n', std::max(start, searched));
      if (end == std::string::npos)
        break;
      parseLine(std::string_view(Pending).substr(start, end - start), out);
      start = end + 1;
    }
    Pending.erase(0, start);
    if (Pending.size() > MaxLineBytes)
      throw EngineError(EngineFailure::MayHaveExecuted,
                        "a line of the stream exceeds " +
                            std::to_string(MaxLineBytes) + " bytes");
    if (out.TotalTokens)
      co_await readLastChunk(timeout);
    co_return out;
  }

  void close() override { Body->close(); }

private:
  void parseLine(std::string_view line, TokenBatch &out) {
    Parser.reset();
    boost::system::error_code ec;
    Parser.write(line.data(), line.size(), ec);
    if (ec || !Parser.done())
      throw EngineError(EngineFailure::MayHaveExecuted,
                        "a line of the stream is not valid JSON");
    json::value v = Parser.release();
    const json::object &o = v.as_object();
    if (o.contains("done")) {
      out.TotalTokens = o.at("tokens").to_number<uint64_t>();
      return;
    }
    out.Tokens.push_back(
        {o.at("i").to_number<uint64_t>(), std::string(o.at("t").as_string())});
  }

  /// Reads the last chunk of the body, so that the connection can be reused.
  Awaitable<void> readLastChunk(Milliseconds timeout) {
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
HttpEngineClient::generate(http::Endpoint endpoint, Attempt attempt,
                           Milliseconds timeout) {
  http::Request request =
      post("/v1/generate", json::serialize(encodeAttempt(attempt)));
  http::CallOptions options;
  options.ConnectTimeout = ConnectTimeout;
  options.Timeout = timeout;
  std::unique_ptr<http::ResponseStream> body;
  try {
    body = co_await Client.open(endpoint, std::move(request), options);
  } catch (const http::TransportError &e) {
    throw toEngineError(e);
  }
  if (body->head().Status != http::StatusOk) {
    std::string text = co_await body->read(timeout);
    // The response has no id that would tell it from a copy for the next call.
    body->close();
    throwStatus(body->head().Status, text);
  }
  co_return std::make_unique<JsonLineStream>(std::move(body));
}

Awaitable<std::unique_ptr<TokenStream>>
HttpEngineClient::resume(http::Endpoint endpoint, std::string attemptId,
                         uint64_t offset, Milliseconds timeout) {
  http::Request request;
  request.Target =
      "/v1/streams/" + attemptId + "?offset=" + std::to_string(offset);
  http::CallOptions options;
  options.ConnectTimeout = ConnectTimeout;
  options.Timeout = timeout;
  options.FreshConnection = true;
  std::unique_ptr<http::ResponseStream> body;
  try {
    body = co_await Client.open(endpoint, std::move(request), options);
  } catch (const http::TransportError &e) {
    throw toEngineError(e);
  }
  if (body->head().Status != http::StatusOk)
    throwStatus(body->head().Status, "");
  co_return std::make_unique<JsonLineStream>(std::move(body));
}

Awaitable<http::Response> HttpEngineClient::call(http::Endpoint endpoint,
                                                 std::string path,
                                                 std::string body,
                                                 http::CallOptions options) {
  options.ConnectTimeout = ConnectTimeout;
  http::Request request = post(std::move(path), std::move(body));
  try {
    co_return co_await Client.call(endpoint, std::move(request), options);
  } catch (const http::TransportError &e) {
    throw toEngineError(e);
  }
}

Awaitable<KvHandle> HttpEngineClient::prefill(http::Endpoint endpoint,
                                              Attempt attempt,
                                              Milliseconds timeout) {
  http::CallOptions options;
  options.Timeout = timeout;
  http::Response r =
      co_await call(endpoint, "/v1/prefill",
                    json::serialize(encodeAttempt(attempt)), options);
  if (r.Status != http::StatusOk)
    throwStatus(r.Status, r.Body);
  std::string handle =
      json::value_to<std::string>(json::parse(r.Body).at("handle"));
  co_return KvHandle{endpoint, std::move(handle)};
}

Awaitable<KvHandle> HttpEngineClient::exportStream(http::Endpoint endpoint,
                                                   std::string attemptId,
                                                   Milliseconds timeout) {
  json::object body;
  body["attempt"] = attemptId;
  http::CallOptions options;
  options.Timeout = timeout;
  http::Response r =
      co_await call(endpoint, "/v1/export", json::serialize(body), options);
  if (r.Status != http::StatusOk)
    throwStatus(r.Status, r.Body);
  co_return KvHandle{endpoint, std::move(attemptId)};
}

Awaitable<void> HttpEngineClient::cancel(http::Endpoint endpoint,
                                         std::string attemptId) {
  json::object body;
  body["attempt"] = attemptId;
  http::CallOptions options;
  options.Timeout = CancelTimeout;
  co_await call(endpoint, "/v1/cancel", json::serialize(body), options);
}

Awaitable<LoadReport> HttpEngineClient::load(http::Endpoint endpoint,
                                             Milliseconds timeout) {
  http::Request request;
  request.Target = "/v1/load";
  http::CallOptions options;
  options.ConnectTimeout = ConnectTimeout;
  options.Timeout = timeout;
  http::Response r;
  try {
    r = co_await Client.call(endpoint, std::move(request), options);
  } catch (const http::TransportError &e) {
    throw toEngineError(e);
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

Awaitable<OrderOutcome>
HttpEngineClient::order(http::Endpoint endpoint, EngineOrder order,
                        std::function<bool()> beforeSend,
                        Milliseconds timeout) {
  json::object body;
  body["id"] = order.Id;
  body["epoch"] = order.Epoch;
  body["kind"] = order.Kind == OrderKind::Fence ? "fence" : "role";
  body["role"] = routing::toString(order.Role);
  http::CallOptions options;
  options.Timeout = timeout;
  options.FreshConnection = true;
  options.BeforeSend = std::move(beforeSend);
  http::Response r =
      co_await call(endpoint, "/v1/orders", json::serialize(body), options);
  if (r.Status == http::StatusConflict)
    co_return OrderOutcome::StaleFencingNumber;
  if (r.Status == http::StatusUnavailable)
    co_return OrderOutcome::Busy;
  if (r.Status != http::StatusOk)
    throwStatus(r.Status, r.Body);
  co_return OrderOutcome::Done;
}

} // namespace sardineford::engine
