#include "Sardineford/Fleet/Workspace.h"

#include "Sardineford/Common/Log.h"
#include "Sardineford/Http/Encoding.h"

#include <sodium/crypto_generichash.h>
#include <sodium/utils.h>

#include <cstring>
#include <set>

namespace sardineford::fleet {

namespace {

/// Separates these digests from other uses of the hash function. All processes
/// need the same digest of a key, so the value is fixed.
constexpr std::string_view DigestContext = "sardineford.workspace-key.v1";

uint64_t prefixOf(const KeyDigest &digest) {
  uint64_t out = 0;
  std::memcpy(&out, digest.data(), sizeof out);
  return out;
}

void logConflict(std::string_view what, const std::string &workspace) {
  log::event(log::Category::Config, log::Level::Error, "workspace_conflict",
             {{"workspace", workspace}, {"outcome", what}});
}

} // namespace

KeyDigest digestOfKey(std::string_view key) {
  KeyDigest out{};
  crypto_generichash(
      out.data(), out.size(),
      reinterpret_cast<const unsigned char *>(key.data()), key.size(),
      reinterpret_cast<const unsigned char *>(DigestContext.data()),
      DigestContext.size());
  return out;
}

std::string toHex(const KeyDigest &digest) {
  std::array<char, 2 * sizeof(KeyDigest) + 1> text{};
  sodium_bin2hex(text.data(), text.size(), digest.data(), digest.size());
  return text.data();
}

std::optional<KeyDigest> parseKeyDigest(std::string_view text) {
  KeyDigest out{};
  size_t n = 0;
  const char *end = nullptr;
  if (text.size() != 2 * out.size() ||
      sodium_hex2bin(out.data(), out.size(), text.data(), text.size(), nullptr,
                     &n, &end) != 0 ||
      n != out.size())
    return std::nullopt;
  return out;
}

WorkspaceTable::WorkspaceTable(const std::vector<Workspace> &workspaces) {
  std::set<std::string_view> names;
  std::set<KeyDigest> seen;
  std::set<KeyDigest> shared;
  for (const Workspace &it : workspaces) {
    if (!names.insert(it.Name).second)
      logConflict("the name is not unique", it.Name);
    std::set<KeyDigest> own(it.Keys.begin(), it.Keys.end());
    for (const KeyDigest &key : own)
      if (!seen.insert(key).second && shared.insert(key).second)
        logConflict("a key is also that of another workspace and is not valid",
                    it.Name);
  }
  for (const Workspace &it : workspaces) {
    if (!http::isVisibleAscii(it.Name)) {
      logConflict("the name cannot be sent as a header; its keys are not valid",
                  it.Name);
      continue;
    }
    std::set<KeyDigest> own(it.Keys.begin(), it.Keys.end());
    for (const KeyDigest &key : own)
      if (!shared.contains(key))
        ByDigest.emplace(prefixOf(key), Entry{key, &it});
  }
}

const Workspace *WorkspaceTable::find(const KeyDigest &digest) const {
  auto [it, end] = ByDigest.equal_range(prefixOf(digest));
  for (; it != end; ++it)
    if (sodium_memcmp(it->second.Digest.data(), digest.data(), digest.size()) ==
        0)
      return it->second.Owner;
  return nullptr;
}

} // namespace sardineford::fleet
