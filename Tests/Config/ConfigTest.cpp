#include "Sardineford/Config/Generation.h"
#include "Sardineford/Control/Edits.h"

#include <catch2/catch.hpp>

using namespace sardineford;
using namespace sardineford::config;

namespace {

RawObject rawObject(const std::string &kind, const std::string &name,
                    const std::string &spec) {
  return {kind, name,
          R"({"kind":")" + kind + R"(","name":")" + name + R"(","spec":)" +
              spec + "}"};
}

std::vector<RawObject> validObjects() {
  return {rawObject("Version", "v", R"({"weights":"w"})"),
          rawObject("EnginePool", "p", R"({"engines":4})"),
          rawObject("Model", "m", R"({"version":"v","pool":"p"})"),
          rawObject("Workspace", "w", R"({"models":["m"],"share":0.5})")};
}

std::string errorsOf(std::vector<RawObject> objects, RawObject extra) {
  objects.push_back(std::move(extra));
  std::string out;
  for (const ValidationError &it : parseCatalog(objects).Errors)
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

TEST_CASE("a valid configuration has no errors") {
  REQUIRE(parseCatalog(validObjects()).Errors.empty());
}

TEST_CASE("validation errors name the object, the field and the remedy") {
  SECTION("a reference that does not resolve") {
    REQUIRE(
        errorsOf(validObjects(),
                 rawObject("Model", "n", R"({"version":"x","pool":"p"})")) ==
        "Model/n: version: Version 'x' does not exist; create that "
        "Version or name another\n");
  }
  SECTION("a cycle of versions") {
    auto objects = validObjects();
    objects.push_back(
        rawObject("Version", "a", R"({"weights":"w","replaces":"b"})"));
    std::string text =
        errorsOf(objects, rawObject("Version", "b",
                                    R"({"weights":"w","replaces":"a"})"));
    REQUIRE(text.find("cycle") != std::string::npos);
  }
  SECTION("too little capacity") {
    std::string text =
        errorsOf(validObjects(), rawObject("EnginePool", "q",
                                           R"({"engines":1,"min_prefill":1})"));
    REQUIRE(text.find("EnginePool/q: engines:") != std::string::npos);
  }
  SECTION("shares that add up to more than 1") {
    std::string text =
        errorsOf(validObjects(), rawObject("Workspace", "x",
                                           R"({"models":["m"],"share":0.6})"));
    REQUIRE(text.find("EnginePool/p: share:") != std::string::npos);
  }
  SECTION("an unknown field") {
    std::string text =
        errorsOf(validObjects(), rawObject("Service", "s", R"({"timeout":5})"));
    REQUIRE(text.find("Service/s: timeout: is not a known field") == 0);
  }
}

TEST_CASE("a delta that is not newer, or whose base is newer, is rejected") {
  auto objects = validObjects();
  GenerationState s;
  REQUIRE(s.apply(delta(0, 2, {record(objects[0], 1), record(objects[1], 2)})));
  REQUIRE_FALSE(s.apply(delta(0, 2, {})));
  REQUIRE_FALSE(s.apply(delta(0, 1, {})));
  REQUIRE_FALSE(s.apply(delta(3, 4, {})));
  REQUIRE(s.generation() == 2);
  REQUIRE(s.catalog().Pools.contains("p"));
}

TEST_CASE("a delta holds changed and removed objects") {
  auto objects = validObjects();
  GenerationState s;
  s.apply(delta(0, 1, {record(objects[0], 1), record(objects[1], 1)}));
  Record removed = record(objects[1], 2);
  removed.Removed = true;
  REQUIRE(s.apply(delta(1, 2, {removed})));
  REQUIRE_FALSE(s.catalog().Pools.contains("p"));
  Delta d = s.deltaSince(1);
  REQUIRE(d.Records.size() == 1);
  REQUIRE(d.Records[0].Removed);
  REQUIRE(s.deltaSince(0).Records.size() == 2);
}

TEST_CASE("an edit that makes the configuration invalid is rejected") {
  std::vector<control::StoredObject> present;
  for (const RawObject &it : validObjects())
    present.push_back({it, 1});
  std::vector<RawObject> edits = {
      rawObject("Model", "m", R"({"version":"none","pool":"p"})")};
  REQUIRE_THROWS_AS(control::planEdits(present, edits), Error);
  edits = {rawObject("EnginePool", "p", R"({"engines":5})")};
  REQUIRE(control::planEdits(present, edits).front().Version == 1);
}

TEST_CASE("an engine is added to and removed from a list of a pool") {
  RawObject pool = rawObject("EnginePool", "p", R"({"engines":4})");
  RawObject with = control::editEngineList(pool, "drain", "e1", true);
  REQUIRE(with.Text.find(R"("drain":["e1"])") != std::string::npos);
  RawObject without = control::editEngineList(with, "drain", "e1", false);
  REQUIRE(without.Text.find(R"("drain":[])") != std::string::npos);
}

TEST_CASE("an edit of a damaged pool names the remedy") {
  for (const char *text :
       {"", "{", "[]", R"({"spec": 1})", R"({"spec": {"drain": 1}})"}) {
    INFO(text);
    try {
      control::editEngineList({"EnginePool", "p", text}, "drain", "e1", true);
      FAIL("no error");
    } catch (const Error &e) {
      CHECK(e.Kind == ErrorKind::BadConfiguration);
      CHECK_FALSE(e.Remedy.empty());
    }
  }
}
