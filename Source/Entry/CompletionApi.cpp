#include "Entry/CompletionApi.h"

#include <boost/json.hpp>

#include <charconv>

namespace sardineford::entry {

namespace json = boost::json;

namespace {

constexpr uint64_t MaxOutputTokens = 1'000'000;

[[noreturn]] void reject(const std::string &message,
                         const std::string &remedy) {
  throw Error(ErrorKind::BadRequest, message, remedy);
}

std::string requiredText(const json::object &o, const char *name) {
  const json::value *v = o.if_contains(name);
  if (!v || !v->is_string() || v->as_string().empty())
    reject("'" + std::string(name) + "' is missing or not a string",
           "send a non-empty string");
  return std::string(v->as_string());
}

std::string promptOfMessages(const json::object &o) {
  const json::value *v = o.if_contains("messages");
  if (!v || !v->is_array() || v->as_array().empty())
    reject("'messages' is missing or empty",
           "send a non-empty array of messages");
  std::string out;
  for (const json::value &it : v->as_array()) {
    if (!it.is_object())
      reject("a message is not an object",
             "send an object with role and content");
    out += requiredText(it.as_object(), "role") + ": " +
           requiredText(it.as_object(), "content") + "\n";
  }
  return out;
}

} // namespace

CompletionRequest parseCompletion(const std::string &body, bool isChat) {
  boost::system::error_code ec;
  json::value root = json::parse(body, ec);
  if (ec || !root.is_object())
    reject("the body is not a JSON object", "send valid JSON");
  const json::object &o = root.as_object();
  CompletionRequest r;
  r.IsChat = isChat;
  r.Model = requiredText(o, "model");
  r.Prompt = isChat ? promptOfMessages(o) : requiredText(o, "prompt");
  if (const json::value *v = o.if_contains("stream")) {
    if (!v->is_bool())
      reject("'stream' is not a boolean", "send true or false");
    r.Stream = v->as_bool();
  }
  if (const json::value *v = o.if_contains("max_tokens")) {
    bool valid = v->is_int64() && v->as_int64() > 0 &&
                 v->as_int64() <= static_cast<int64_t>(MaxOutputTokens);
    if (!valid)
      reject("'max_tokens' is not a positive integer",
             "send a number between 1 and the limit of the model");
    r.MaxTokens = static_cast<uint64_t>(v->as_int64());
  }
  return r;
}

std::optional<ResumePoint> parseResume(const http::Headers &fields) {
  std::optional<std::string> token = fields.find("X-Resume-Token");
  std::optional<std::string> delivered = fields.find("X-Delivered-Tokens");
  if (!token || !delivered)
    return std::nullopt;
  size_t slash = token->find('/');
  uint64_t n = 0;
  auto [end, ec] = std::from_chars(delivered->data(),
                                   delivered->data() + delivered->size(), n);
  if (slash == std::string::npos || ec != std::errc())
    reject("the resume headers are invalid",
           "send X-Resume-Token as received and the number of received tokens "
           "in X-Delivered-Tokens");
  ResumePoint p;
  p.Engine = http::parseEndpoint(token->substr(0, slash));
  p.Attempt = token->substr(slash + 1);
  p.Delivered = n;
  return p;
}

std::string encodeResumeToken(const http::Endpoint &engine,
                              const std::string &attempt) {
  return http::toString(engine) + "/" + attempt;
}

CompletionWriter::CompletionWriter(const CompletionRequest &request,
                                   std::string id)
    : IsChat(request.IsChat), Id(std::move(id)), Model(request.Model) {
  std::string head = "data: {\"id\":" + json::serialize(json::value(Id)) +
                     ",\"model\":" + json::serialize(json::value(Model));
  if (IsChat) {
    EventPrefix = head + ",\"object\":\"chat.completion.chunk\",\"choices\":[{"
                         "\"index\":0,\"delta\":{\"content\":";
    EventSuffix = "},\"finish_reason\":null}]}\n\n";
  } else {
    EventPrefix = head + ",\"object\":\"text_completion\",\"choices\":[{"
                         "\"index\":0,\"text\":";
    EventSuffix = ",\"finish_reason\":null}]}\n\n";
  }
}

std::string CompletionWriter::event(const engine::Token &t,
                                    const std::string &resumeToken) {
  std::string out;
  if (!resumeToken.empty())
    out = "id: " + resumeToken + "\n";
  out += EventPrefix;
  out += json::serialize(json::string(t.Text));
  out += EventSuffix;
  return out;
}

std::string CompletionWriter::end() const {
  std::string last = EventPrefix + "\"\"" + EventSuffix;
  std::string_view open = "\"finish_reason\":null";
  last.replace(last.find(open), open.size(), "\"finish_reason\":\"stop\"");
  return last + "data: [DONE]\n\n";
}

std::string CompletionWriter::failure(const Error &e, Executed run) const {
  json::object error = {{"type", toString(e.Kind)},
                        {"detail", e.what()},
                        {"remedy", e.Remedy},
                        {"run", toString(run)}};
  return "event: error\ndata: " +
         json::serialize(json::object{{"error", std::move(error)}}) + "\n\n";
}

std::string CompletionWriter::document(const std::string &text,
                                       uint64_t promptTokens,
                                       uint64_t outputTokens) const {
  json::object choice = {{"index", 0}, {"finish_reason", "stop"}};
  if (IsChat)
    choice["message"] = json::object{{"role", "assistant"}, {"content", text}};
  else
    choice["text"] = text;
  json::object usage = {{"prompt_tokens", promptTokens},
                        {"completion_tokens", outputTokens},
                        {"total_tokens", promptTokens + outputTokens}};
  return json::serialize(
      json::object{{"id", Id},
                   {"object", IsChat ? "chat.completion" : "text_completion"},
                   {"model", Model},
                   {"choices", json::array{std::move(choice)}},
                   {"usage", std::move(usage)}});
}

} // namespace sardineford::entry
