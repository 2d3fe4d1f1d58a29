#pragma once

#include "Sardineford/Common/Time.h"
#include "Sardineford/Fleet/Workspace.h"
#include "Sardineford/Http/Message.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace sardineford::gateway {

/// A part of a prompt. All parts but the last may be shared with other
/// requests.
struct PromptPart {
  uint64_t Id = 0;
  uint64_t Tokens = 0;
};

/// A decoded caller request.
struct CallerRequest {
  std::string Id;
  std::string Method;
  /// Path and query as received from the caller.
  std::string Target;
  std::string Host;
  /// Headers that are forwarded to the backend server unchanged.
  http::Headers ForwardedHeaders;
  std::string Body;
  /// Time until the caller's deadline, measured from the sending of the
  /// request.
  std::optional<Milliseconds> RemainingTime;
  uint64_t PromptTokens = 0;
  uint64_t MaxOutputTokens = 0;
  std::vector<PromptPart> Parts;
  /// Id of the caller's attempt that received the first event of the stream. It
  /// differs from `Id` if the request takes up an interrupted stream.
  std::string StreamId;
  /// Id of the last event that the caller received of an interrupted stream.
  std::optional<uint64_t> ResumeAfter;
  /// Digest of the key that the request carries; empty without a key, or with
  /// several.
  std::optional<fleet::KeyDigest> Key;
  /// Name of the workspace that the request belongs to; empty if it needs none.
  std::string Workspace;
  /// Version of the configuration by which a peer passed the request on.
  std::optional<uint64_t> PeerConfigurationVersion;
};

/// Returns a hash that is the same for repeats of a request by one caller,
/// whatever their ids: of method, host, path, credentials and body.
uint64_t hashOfRepeats(const CallerRequest &request);

/// Makes the ids of the prompt parts differ from those of other workspaces, so
/// that no record of a cached part is credited to another workspace. The first
/// part keeps its id: it may be common to all. Has no effect without a
/// workspace.
void separateParts(CallerRequest &request);

/// Returns the parts of the prompt that other requests may share. The last part
/// belongs to the request alone.
inline std::span<const PromptPart> sharedParts(const CallerRequest &request) {
  return std::span(request.Parts)
      .first(request.Parts.empty() ? 0 : request.Parts.size() - 1);
}

} // namespace sardineford::gateway
