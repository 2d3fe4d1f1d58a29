#include "Sardineford/Config/Generation.h"
#include "Sardineford/Control/Edits.h"

#include <catch2/catch.hpp>

using namespace sardineford;
using namespace sardineford::config;

namespace {

RawObject raw(const std::string &kind, const std::string &name,
              const std::string &spec) {
  return {kind, name,
          R"({"kind":")" + kind + R"(","name":")" + name + R"(","spec":)" +
              spec + "}"};
}

std::vector<RawObject> wholeSet() {
  return {raw("Version", "v", R"({"weights":"w"})"),
          raw("EnginePool", "p", R"({"engines":4})"),
          raw("Model", "m", R"({"version":"v","pool":"p"})"),
          raw("Workspace", "w", R"({"models":["m"],"share":0.5})")};
}

std::string faultsOf(std::vector<RawObject> set, RawObject extra) {
  set.push_back(std::move(extra));
  std::string out;
  for (const ValidationError &it : parseCatalog(set).Errors)
    out += toString(it) + "\n";
  return out;
}

Delta delta(uint64_t base, uint64_t generation, std::vector<Record> records) {
  return {base, generation, std::move(records)};
}

Record record(const RawObject &o, uint64_t generation) {
  return {o.Kind, o.Name, o.Text, generation, generation, false};
}

} // namespace

TEST_CASE("a whole set is right") {
  REQUIRE(parseCatalog(wholeSet()).Errors.empty());
}

TEST_CASE("errors of a set name object, field and remedy") {
  SECTION("a reference that does not resolve") {
    REQUIRE(faultsOf(wholeSet(),
                     raw("Model", "n", R"({"version":"x","pool":"p"})")) ==
            "Model/n: version: Version 'x' does not exist; create that "
            "Version or name another\n");
  }
  SECTION("a cycle") {
    auto set = wholeSet();
    set.push_back(raw("Version", "a", R"({"weights":"w","replaces":"b"})"));
    std::string text =
        faultsOf(set, raw("Version", "b", R"({"weights":"w","replaces":"a"})"));
    REQUIRE(text.find("cycle") != std::string::npos);
  }
  SECTION("too little capacity") {
    std::string text = faultsOf(
        wholeSet(), raw("EnginePool", "q", R"({"engines":1,"min_prefill":1})"));
    REQUIRE(text.find("EnginePool/q: engines:") != std::string::npos);
  }
  SECTION("shares over 1") {
    std::string text = faultsOf(
        wholeSet(), raw("Workspace", "x", R"({"models":["m"],"share":0.6})"));
    REQUIRE(text.find("EnginePool/p: share:") != std::string::npos);
  }
  SECTION("an unknown field") {
    std::string text =
        faultsOf(wholeSet(), raw("Service", "s", R"({"timeout":5})"));
    REQUIRE(text.find("Service/s: timeout: is not a known field") == 0);
  }
}

TEST_CASE("a generation never goes back and a gap is not taken") {
  auto set = wholeSet();
  GenerationState s;
  REQUIRE(s.apply(delta(0, 2, {record(set[0], 1), record(set[1], 2)})));
  REQUIRE_FALSE(s.apply(delta(0, 2, {})));
  REQUIRE_FALSE(s.apply(delta(0, 1, {})));
  REQUIRE_FALSE(s.apply(delta(3, 4, {})));
  REQUIRE(s.generation() == 2);
  REQUIRE(s.catalog().Pools.contains("p"));
}

TEST_CASE("a delta holds what changed, removals included") {
  auto set = wholeSet();
  GenerationState s;
  s.apply(delta(0, 1, {record(set[0], 1), record(set[1], 1)}));
  Record removed = record(set[1], 2);
  removed.Removed = true;
  REQUIRE(s.apply(delta(1, 2, {removed})));
  REQUIRE_FALSE(s.catalog().Pools.contains("p"));
  Delta d = s.deltaSince(1);
  REQUIRE(d.Records.size() == 1);
  REQUIRE(d.Records[0].Removed);
  REQUIRE(s.deltaSince(0).Records.size() == 2);
}

TEST_CASE("an edit that breaks the set is rejected as a whole") {
  std::vector<control::StoredObject> present;
  for (const RawObject &it : wholeSet())
    present.push_back({it, 1});
  std::vector<RawObject> edits = {
      raw("Model", "m", R"({"version":"none","pool":"p"})")};
  REQUIRE_THROWS_AS(control::planEdits(present, edits), Error);
  edits = {raw("EnginePool", "p", R"({"engines":5})")};
  REQUIRE(control::planEdits(present, edits).front().Version == 1);
}

TEST_CASE("an engine is added to and taken from a list of a pool") {
  RawObject pool = raw("EnginePool", "p", R"({"engines":4})");
  RawObject with = control::editList(pool, "drain", "e1", true);
  REQUIRE(with.Text.find(R"("drain":["e1"])") != std::string::npos);
  RawObject without = control::editList(with, "drain", "e1", false);
  REQUIRE(without.Text.find(R"("drain":[])") != std::string::npos);
}
