#pragma once

#include "Sardineford/Engine/EngineClient.h"
#include "Sardineford/Http/Message.h"

#include <optional>
#include <string>

namespace sardineford::entry {

/// A request for a chat completion or a text completion.
struct CompletionRequest {
  bool IsChat = false;
  bool Stream = false;
  std::string Model;
  std::string Prompt;
  uint64_t MaxTokens = 256;
};

/// Position from which an interrupted stream of a caller is resumed.
struct ResumePoint {
  http::Endpoint Engine;
  std::string Attempt;
  /// Number of tokens that the caller has received.
  uint64_t Delivered = 0;
};

/// Parses the body of POST /v1/chat/completions or /v1/completions. Throws
/// Error(BadRequest) that names the invalid field and the remedy.
CompletionRequest parseCompletion(const std::string &body, bool isChat);

/// Parses the headers X-Resume-Token and X-Delivered-Tokens. Returns none if
/// either is missing; throws Error(BadRequest) if they are invalid.
std::optional<ResumePoint> parseResume(const http::Headers &fields);
std::string encodeResumeToken(const http::Endpoint &engine,
                              const std::string &attempt);

/// Formats a response as server-sent events or as one JSON document.
class CompletionWriter {
public:
  CompletionWriter(const CompletionRequest &request, std::string id);

  /// Returns the event of a token. A non-empty resume token becomes its id.
  std::string event(const engine::Token &t, const std::string &resumeToken);
  /// Returns the last events of a complete response.
  std::string end() const;
  /// Returns the error event of a response that could not be completed.
  std::string failure(const Error &e, Executed run) const;
  /// Returns the JSON document of a complete response.
  std::string document(const std::string &text, uint64_t promptTokens,
                       uint64_t outputTokens) const;

private:
  bool IsChat;
  std::string Id;
  std::string Model;
  /// Text of an event before and after its token.
  std::string EventPrefix;
  std::string EventSuffix;
};

} // namespace sardineford::entry
