#include "Sardineford/Fleet/Workspace.h"

#include <catch2/catch.hpp>

#include <malloc.h>

#include <memory>
#include <string>

using namespace sardineford::fleet;

namespace {

Workspace workspace(std::string name, const std::vector<std::string> &keys) {
  Workspace w;
  w.Name = std::move(name);
  for (const std::string &it : keys)
    w.Keys.push_back(digestOfKey(it));
  return w;
}

std::string ownerOf(const WorkspaceTable &table, std::string_view key) {
  const Workspace *w = table.find(digestOfKey(key));
  return w ? w->Name : "";
}

} // namespace

// Guards against a key that admits the callers of another workspace.
TEST_CASE("each key belongs to the workspace that holds it") {
  std::vector<Workspace> all = {workspace("a", {"k1", "k2"}),
                                workspace("b", {"k3"}), workspace("c", {})};
  WorkspaceTable t(all);
  CHECK(ownerOf(t, "k1") == "a");
  CHECK(ownerOf(t, "k2") == "a");
  CHECK(ownerOf(t, "k3") == "b");
  for (const char *it : {"", "k", "k11", "K1", "k1 "})
    CHECK(ownerOf(t, it).empty());
}

// Guards against a comparison of only those bytes that the table is keyed by.
TEST_CASE("digests that begin with the same bytes are told apart") {
  Workspace a = workspace("a", {"k"});
  Workspace b{"b", std::nullopt, a.Keys};
  b.Keys[0].back() ^= 1;
  KeyDigest other = a.Keys[0];
  other.back() ^= 2;
  std::vector<Workspace> all = {a, b};
  WorkspaceTable t(all);
  REQUIRE(t.find(a.Keys[0]));
  CHECK(t.find(a.Keys[0])->Name == "a");
  REQUIRE(t.find(b.Keys[0]));
  CHECK(t.find(b.Keys[0])->Name == "b");
  CHECK_FALSE(t.find(other));
}

// Guards against billing one workspace for the callers of another.
TEST_CASE("a key of several workspaces is valid for none of them") {
  std::vector<Workspace> all = {
      workspace("a", {"own-a", "own-a", "both", "three"}),
      workspace("b", {"both", "three", "own-b"}), workspace("c", {"three"}),
      workspace("a", {"own-a2"})};
  WorkspaceTable t(all);
  CHECK(ownerOf(t, "both").empty());
  CHECK(ownerOf(t, "three").empty());
  CHECK(ownerOf(t, "own-a") == "a");
  CHECK(ownerOf(t, "own-a2") == "a");
  CHECK(ownerOf(t, "own-b") == "b");
}

// Guards against a request that is split by the name of its workspace, and
// against a configuration that is rejected as a whole because of one name.
TEST_CASE("keys of a name that cannot be a header are not valid") {
  std::vector<Workspace> all = {
      workspace("", {"k1"}), workspace("a\r\nX: 1", {"k2"}),
      workspace("a b", {"k3"}), workspace("\xff", {"k4"}),
      workspace("sound", {"k5"})};
  WorkspaceTable t(all);
  for (const char *it : {"k1", "k2", "k3", "k4"})
    CHECK_FALSE(t.find(digestOfKey(it)));
  CHECK(ownerOf(t, "k5") == "sound");
}

TEST_CASE("a text that is no digest is not decoded") {
  KeyDigest d = digestOfKey("k");
  std::string text = toHex(d);
  CHECK(parseKeyDigest(text) == d);
  for (const std::string &it :
       {std::string(), text.substr(1), text + "0", text + "00",
        "g" + text.substr(1), std::string(text.size(), '\0')})
    CHECK_FALSE(parseKeyDigest(it));
}

// The page's bound on the memory for control work of a process is 64 MB, with
// 31,000 workspaces. Guards against tables that grow by more than their keys.
TEST_CASE("31,000 workspaces take bounded memory") {
  constexpr size_t Workspaces = 31'000;
  constexpr size_t KeysEach = 2;
  constexpr size_t MaxBytes = size_t{64} * 1024 * 1024;
  size_t before = mallinfo2().uordblks;
  std::vector<Workspace> all;
  for (size_t i = 0; i < Workspaces; ++i)
    all.push_back(
        workspace("workspace-" + std::to_string(i),
                  {"k1-" + std::to_string(i), "k2-" + std::to_string(i)}));
  auto t = std::make_unique<WorkspaceTable>(all);
  size_t after = mallinfo2().uordblks;
  CHECK(after - before < MaxBytes);
  CHECK(t->size() == Workspaces * KeysEach);
  size_t found = 0;
  for (const Workspace &it : all)
    for (const KeyDigest &key : it.Keys)
      found += t->find(key) == &it ? 1 : 0;
  CHECK(found == Workspaces * KeysEach);
}
