#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sardineford::fleet {

/// Digest of a workspace's key. Processes keep and exchange digests, so that a
/// key is in no message, log line or core dump of the system.
using KeyDigest = std::array<unsigned char, 16>;

KeyDigest digestOfKey(std::string_view key);
std::string toHex(const KeyDigest &digest);
/// Returns nothing if the text is not a digest.
std::optional<KeyDigest> parseKeyDigest(std::string_view text);

/// The account of a group of callers. Each of its keys admits requests.
struct Workspace {
  std::string Name;
  /// Rank of its requests, 0 is the highest; empty for that of their routes.
  std::optional<int> Priority;
  std::vector<KeyDigest> Keys;
};

/// Finds the workspace of a key.
class WorkspaceTable {
public:
  /// Logs an error for each name or key that is not unique, and for each name
  /// that cannot be sent as a header. A key of several workspaces belongs to
  /// none of them; the keys of a workspace without a usable name are not valid.
  explicit WorkspaceTable(const std::vector<Workspace> &workspaces);

  /// Returns the workspace that holds the key, or nullptr.
  const Workspace *find(const KeyDigest &digest) const;
  size_t size() const { return ByDigest.size(); }

private:
  struct Entry {
    KeyDigest Digest;
    const Workspace *Owner;
  };

  /// Keyed by the first bytes of the digest.
  std::unordered_multimap<uint64_t, Entry> ByDigest;
};

} // namespace sardineford::fleet
