#include "Fleet/RouteHistory.h"

#include "Sardineford/Fleet/Directory.h"

#include <catch2/catch.hpp>

using namespace sardineford;
using namespace sardineford::fleet;

namespace {

constexpr MonoTime Start{std::chrono::seconds(100)};

Configuration configuration(const std::vector<std::string> &services) {
  Route r;
  r.Name = "draft";
  r.Kind = RequestKind::Stream;
  r.Resumable = true;
  for (const std::string &it : services)
    r.Targets.push_back({it, 1});
  Configuration c;
  c.Routes = {r};
  return c;
}

} // namespace

TEST_CASE("streams of a route that moved can have begun at its former "
          "service") {
  RouteHistory h;
  h.record(configuration({"a"}), Start);
  CHECK(h.services("draft", Start) == std::set<std::string>{"a"});
  CHECK_FALSE(h.sharesStreams("a", Start));
  MonoTime moved = Start + StreamMemory;
  h.record(configuration({"b"}), moved);
  CHECK(h.services("draft", moved) == std::set<std::string>{"a", "b"});
  CHECK(h.sharesStreams("a", moved));
  CHECK(h.sharesStreams("b", moved));
  MonoTime later = moved + StreamMemory;
  CHECK(h.services("draft", later) == std::set<std::string>{"b"});
  CHECK_FALSE(h.sharesStreams("b", later));
}

TEST_CASE("a configuration that moves no route leaves it with one service") {
  RouteHistory h;
  h.record(configuration({"a"}), Start);
  h.record(configuration({"a"}), Start + Milliseconds(1));
  CHECK(h.services("draft", Start + Milliseconds(2)) ==
        std::set<std::string>{"a"});
  CHECK_FALSE(h.sharesStreams("a", Start + Milliseconds(2)));
  CHECK(h.services("other", Start).empty());
}

TEST_CASE("a route that is split and joined again keeps both services for a "
          "while") {
  RouteHistory h;
  h.record(configuration({"a", "b"}), Start);
  CHECK(h.sharesStreams("a", Start));
  h.record(configuration({"a"}), Start);
  CHECK(h.services("draft", Start) == std::set<std::string>{"a", "b"});
  CHECK(h.services("draft", Start + StreamMemory) ==
        std::set<std::string>{"a"});
}
