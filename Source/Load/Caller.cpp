#include "Load/Caller.h"

#include "Sardineford/Http/Status.h"

#include <boost/json.hpp>

namespace sardineford::load {

namespace json = boost::json;

namespace {

constexpr std::string_view DataField = "data: ";
constexpr std::string_view IdField = "id: ";
constexpr std::string_view EventField = "event: ";
/// Time that the client waits for a response beyond the deadline.
constexpr Milliseconds DeadlineMargin{2'000};

http::Request makeRequest(const CompletionCall &c) {
  http::Request r;
  r.Method = "POST";
  r.Target = "/v1/completions";
  r.Fields.add("Content-Type", "application/json");
  r.Fields.add("X-Request-Id", c.RequestId);
  r.Fields.add("X-Workspace", c.Workspace);
  r.Fields.add("X-Deadline-Ms", std::to_string(c.Deadline.count()));
  if (!c.ResumeToken.empty()) {
    r.Fields.add("X-Resume-Token", c.ResumeToken);
    r.Fields.add("X-Delivered-Tokens", std::to_string(c.Delivered));
  }
  json::object body;
  body["model"] = c.Model;
  body["prompt"] = c.Prompt;
  body["max_tokens"] = c.MaxTokens;
  body["stream"] = true;
  r.Body = json::serialize(body);
  return r;
}

/// Parses the server-sent events of one stream.
class EventReader {
public:
  explicit EventReader(CallResult &out) : Out(out) {}

  void append(const std::string &piece) {
    Pending += piece;
    size_t start = 0;
    for (;;) {
      size_t end = Pending.find('\n', start);
      if (end == std::string::npos)
        break;
      parseLine(std::string_view(Pending).substr(start, end - start));
      start = end + 1;
    }
    Pending.erase(0, start);
  }

  bool isDone() const { return Done; }
  bool hasFailed() const { return Failed; }

private:
  void parseLine(std::string_view line) {
    if (line.starts_with(IdField))
      Out.ResumeToken = std::string(line.substr(IdField.size()));
    else if (line.starts_with(EventField))
      Failed = line.substr(EventField.size()) == "error";
    else if (line.starts_with(DataField))
      parseData(line.substr(DataField.size()));
  }

  void parseData(std::string_view data) {
    if (data == "[DONE]") {
      Done = true;
      return;
    }
    json::value v = json::parse(data);
    if (Failed) {
      const json::value &error = v.at("error");
      Out.Run = json::value_to<std::string>(error.at("run"));
      Out.Detail = json::value_to<std::string>(error.at("detail"));
      return;
    }
    const json::value &choice = v.at("choices").at(0);
    if (!choice.at("finish_reason").is_null())
      return;
    Out.Text += std::string(choice.at("text").as_string());
    ++Out.Tokens;
  }

  CallResult &Out;
  std::string Pending;
  bool Done = false;
  bool Failed = false;
};

} // namespace

void readProblem(const http::Response &r, const std::string &body,
                 CallResult &out) {
  boost::system::error_code ec;
  json::value v = json::parse(body, ec);
  out.Status = r.Status;
  if (ec || !v.is_object() || !v.as_object().contains("run"))
    return;
  out.Run = json::value_to<std::string>(v.at("run"));
  out.Detail = json::value_to<std::string>(v.at("detail"));
  if (const json::value *after = v.as_object().if_contains("retry_after_ms"))
    out.RetryAfter = Milliseconds(after->to_number<int64_t>());
}

Awaitable<CallResult> callCompletion(http::Client &client, http::Endpoint to,
                                     CompletionCall call) {
  CallResult out;
  out.ResumeToken = call.ResumeToken;
  http::Request request = makeRequest(call);
  http::CallOptions options;
  options.Timeout = call.Deadline + DeadlineMargin;
  options.FreshConnection = !call.ResumeToken.empty();
  EventReader reader(out);
  try {
    std::unique_ptr<http::ResponseStream> stream =
        co_await client.open(to, std::move(request), options);
    out.Status = stream->head().Status;
    bool isStream = out.Status == http::StatusOk;
    std::string body;
    for (;;) {
      std::string piece = co_await stream->read(options.Timeout);
      if (piece.empty())
        break;
      if (isStream) {
        out.Arrivals.push_back(MonoClock::now());
        reader.append(piece);
      } else {
        body += piece;
      }
    }
    if (!isStream)
      readProblem(stream->head(), body, out);
    bool rejected = !isStream && out.Run == "no";
    out.Outcome = reader.isDone()      ? CallOutcome::Complete
                  : rejected           ? CallOutcome::Rejected
                  : reader.hasFailed() ? CallOutcome::Failed
                  : isStream           ? CallOutcome::Disconnected
                                       : CallOutcome::Failed;
  } catch (const http::TransportError &e) {
    out.Outcome = CallOutcome::Disconnected;
    out.Detail = e.what();
  }
  co_return out;
}

} // namespace sardineford::load
