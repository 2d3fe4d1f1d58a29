#include "Sardineford/Fleet/Configuration.h"

#include <catch2/catch.hpp>

using namespace sardineford;
using namespace sardineford::fleet;

namespace {

Route route(const std::string &name, const std::string &host,
            const std::string &prefix) {
  Route r;
  r.Name = name;
  r.Host = host;
  r.PathPrefix = prefix;
  r.Targets = {{"s", 1}};
  return r;
}

} // namespace

TEST_CASE("the longest prefix of the host's routes wins") {
  auto c = std::make_shared<Configuration>();
  c->Routes = {route("short", "a.example", "/x/"),
               route("long", "a.example", "/x/y/"),
               route("other", "b.example", "/x/y/z/")};
  RouteTable t(c);
  CHECK(t.find("a.example", "/x/y/z/1")->Name == "long");
  CHECK(t.find("A.example:8080", "/x/1")->Name == "short");
  CHECK(t.find("a.example", "/x") == nullptr);
  CHECK(t.find("c.example", "/x/") == nullptr);
}

TEST_CASE("services are picked by weight") {
  std::mt19937_64 random(1);
  Route r = route("r", "h", "/");
  r.Targets = {{"a", 90}, {"b", 10}, {"c", 0}};
  std::map<std::string, int> n;
  for (int i = 0; i < 2'000; ++i)
    ++n[pickService(r, random)];
  CHECK(n["a"] > 1'700);
  CHECK(n["b"] > 120);
  CHECK(n["c"] == 0);
}

TEST_CASE("the caller timeout is the longest of three estimates") {
  Route r = route("r", "h", "/");
  r.Objective = Milliseconds(100);
  CHECK(estimatedCallerTimeout(r) == Milliseconds(2'000));
  r.Objective = Milliseconds(600);
  CHECK(estimatedCallerTimeout(r) == Milliseconds(2'400));
  r.GapObjective = Milliseconds(400);
  CHECK(estimatedCallerTimeout(r) == Milliseconds(3'200));
}
