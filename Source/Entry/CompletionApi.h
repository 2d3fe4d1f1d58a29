#pragma once

#include "Sardineford/Engine/EngineClient.h"
#include "Sardineford/Http/Message.h"

#include <optional>
#include <string>

namespace sardineford::entry {

/// A caller's request for a completion, in either of the two usual forms.
struct CompletionRequest {
  bool IsChat = false;
  bool Stream = false;
  std::string Model;
  std::string Prompt;
  uint64_t MaxTokens = 256;
};

/// Where a caller's broken stream can be taken up again.
struct ResumePoint {
  http::Endpoint Engine;
  std::string Attempt;
  /// Tokens that the caller has.
  uint64_t Delivered = 0;
};

/// Reads the body of POST /v1/chat/completions or /v1/completions. Throws
/// Error(BadRequest) that names the field and the remedy.
CompletionRequest parseCompletion(const std::string &body, bool isChat);

/// Reads the headers X-Resume-Token and X-Delivered-Tokens.
std::optional<ResumePoint> parseResume(const http::Headers &fields);
std::string encodeResumeToken(const http::Endpoint &engine,
                              const std::string &attempt);

/// Writes the pieces of an answer as server-sent events or as one document.
class CompletionWriter {
public:
  CompletionWriter(const CompletionRequest &request, std::string id);

  /// One event for each token, with the resume token where it is given.
  std::string event(const engine::Token &t, const std::string &resumeToken);
  /// The last events of a whole answer.
  std::string end() const;
  /// The event that says that the answer could not be completed.
  std::string failure(const Error &e, RunState run) const;
  /// A whole answer.
  std::string document(const std::string &text, uint64_t promptTokens,
                       uint64_t outputTokens) const;

private:
  bool IsChat;
  std::string Id;
  std::string Model;
  /// Event text up to and after the token.
  std::string Before;
  std::string After;
};

} // namespace sardineford::entry
