#pragma once

#include "Sardineford/Common/Time.h"
#include "Sardineford/Http/Message.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sardineford::gateway {

/// One part of a prompt, shared with other requests unless it is the last.
struct PromptPart {
  uint64_t Id = 0;
  uint64_t Tokens = 0;
};

/// One attempt of a caller, decoded.
struct CallerRequest {
  std::string Id;
  std::string Method;
  /// Path and query as the caller sent them.
  std::string Target;
  std::string Host;
  /// Headers that go to the backend server unchanged.
  http::Headers ForwardedHeaders;
  std::string Body;
  /// Time that the caller waits, counted from its sending.
  std::optional<Milliseconds> RemainingTime;
  uint64_t PromptTokens = 0;
  uint64_t MaxOutputTokens = 0;
  std::vector<PromptPart> Parts;
  /// The caller has all events up to this one.
  std::optional<uint64_t> ResumeAfter;
};

} // namespace sardineford::gateway
