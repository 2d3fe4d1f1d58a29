#include "Sardineford/Settings/Settings.h"

#include <catch2/catch.hpp>

using namespace sardineford;
using namespace sardineford::settings;

namespace {

const Setting<int64_t> Port{"test.port", 80, 1, 65'535, "", "a port"};
const Setting<std::string> Name{"test.name", "", "a name"};
const Setting<int64_t> Limit =
    Setting<int64_t>{"test.limit", 5, 1, 100, "", "a limit"}.reloadable();
const Setting<bool> Flag{"test.flag", false, "a switch"};

std::string withTestSettings(const std::string &test) {
  return R"({"test":)" + test + "}";
}

std::string messageOf(const std::string &text) {
  try {
    Settings::parse(text, "file.json");
  } catch (const Error &e) {
    return e.what();
  }
  return "";
}

} // namespace

TEST_CASE("a setting that is not given has its default value") {
  Settings s = Settings::parse(withTestSettings("{}"), "file.json");
  REQUIRE(s.get(Port) == 80);
  REQUIRE_FALSE(s.get(Flag));
}

TEST_CASE("an error names the file, the key and the remedy") {
  SECTION("unknown key") {
    REQUIRE(messageOf(withTestSettings(R"({"prot":1})")) ==
            "file.json: test.prot: is not a known setting; remove it, or see "
            "docs/CONFIGURATION.md for the right name\n");
  }
  SECTION("wrong type") {
    REQUIRE(messageOf(withTestSettings(R"({"port":"x"})")) ==
            "file.json: test.port: has the wrong type; give an integer\n");
  }
  SECTION("out of range") {
    REQUIRE(messageOf(withTestSettings(R"({"port":0})")) ==
            "file.json: test.port: 0 is out of range; give 1 to 65535\n");
  }
  SECTION("not JSON") {
    REQUIRE(messageOf("{").find("is not a JSON object") != std::string::npos);
  }
}

TEST_CASE("all errors of a file are listed") {
  std::string text =
      messageOf(withTestSettings(R"({"port":0,"flag":1,"x":2})"));
  REQUIRE(std::count(text.begin(), text.end(), '\n') == 3);
}

TEST_CASE("a running process applies only reloadable settings") {
  Settings s = Settings::parse(withTestSettings(R"({"port":81})"), "file.json");
  std::vector<Change> changes = s.applyReloadable(Settings::parse(
      withTestSettings(R"({"port":82,"limit":7})"), "file.json"));
  REQUIRE(changes.size() == 2);
  CHECK(changes[0].Key == "test.limit");
  CHECK(changes[0].From == "5");
  CHECK(changes[0].To == "7");
  CHECK(changes[0].Applied);
  CHECK(changes[1].Key == "test.port");
  CHECK_FALSE(changes[1].Applied);
  CHECK(s.get(Limit) == 7);
  CHECK(s.get(Port) == 81);
}
