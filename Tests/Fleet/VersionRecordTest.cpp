#include "Sardineford/Fleet/VersionRecord.h"

#include <catch2/catch.hpp>

using namespace sardineford;
using namespace sardineford::fleet;

TEST_CASE("a record of versions survives the store") {
  VersionRecord in{"model/7 \"x\"", {"v1", "v1.1"}, 0};
  VersionRecord out = decodeRecord(encodeRecord(in), 12);
  CHECK(out.Service == in.Service);
  CHECK(out.Versions == in.Versions);
  CHECK(out.Version == 12);
}

TEST_CASE("the name of a record can stand in a URL") {
  std::string name = recordName("model/7 \"x\"?");
  CHECK(name.find_first_not_of("0123456789abcdef") == std::string::npos);
  CHECK(name != recordName("model/7"));
}

TEST_CASE("a text that is no record of versions throws") {
  for (const char *it :
       {"", "[]", "{}", R"({"service":"model"})",
        R"({"service":1,"versions":[]})", R"({"service":"m","versions":[1]})",
        R"({"service":"m","versions":"v1"})"}) {
    INFO(it);
    CHECK_THROWS(decodeRecord(it, 1));
  }
}

TEST_CASE("a version with servers is recorded") {
  CHECK(neededChange({{"v1"}, {"v1"}, {}}) == RecordChange::Add);
  CHECK(neededChange({{"v1", "v2"}, {"v1", "v2"}, {"v1"}}) ==
        RecordChange::Add);
  CHECK(neededChange({{"v1"}, {"v1"}, {"v1"}}) == RecordChange::None);
  CHECK(neededChange({{}, {}, {}}) == RecordChange::None);
}

TEST_CASE("a version stays recorded until no caller can come back with its "
          "streams") {
  CHECK(neededChange({{"v2"}, {"v1", "v2"}, {"v1", "v2"}}) ==
        RecordChange::None);
  CHECK(neededChange({{"v2"}, {"v2"}, {"v1", "v2"}}) == RecordChange::Remove);
  CHECK(neededChange({{}, {}, {"v1"}}) == RecordChange::Remove);
}

TEST_CASE("processes whose views differ for a while do not undo each other's "
          "changes of a record") {
  // A process that started later keeps a departed version for longer.
  CHECK(neededChange({{"v2"}, {"v1", "v2"}, {"v2"}}) == RecordChange::None);
}

TEST_CASE("one process writes a change of a record at once, the others later "
          "one after another") {
  for (RecordChange it : {RecordChange::Add, RecordChange::Remove}) {
    CHECK(changeDelay(it, 0) == Milliseconds(0));
    CHECK(changeDelay(it, 1) >= Milliseconds(400));
    CHECK(changeDelay(it, 2) - changeDelay(it, 1) >= Milliseconds(100));
  }
  // A substitute acts before streams begin without a record.
  CHECK(changeDelay(RecordChange::Add, 5) < MaxRecordDelay);
}
