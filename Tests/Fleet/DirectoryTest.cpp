#include "Sardineford/Fleet/Directory.h"

#include <catch2/catch.hpp>

using namespace sardineford;
using namespace sardineford::fleet;

namespace {

constexpr MonoTime Start{std::chrono::seconds(100)};
/// The store was sound: a missing entry is gone.
constexpr MonoTime NoDoubt{};

ServerEntry entry(const std::string &id, int64_t started = 1) {
  ServerEntry e;
  e.Id = id;
  e.Service = "model";
  e.Address = {"10.0.0.1", 80};
  e.StartedMs = started;
  return e;
}

Directory makeDirectory() {
  return Directory([](const Server &, std::string_view) {});
}

} // namespace

TEST_CASE("a draining server takes no new work") {
  Directory d = makeDirectory();
  d.put(entry("a"));
  CHECK(d.ofService("model").size() == 1);
  ServerEntry e = entry("a");
  e.Draining = true;
  d.put(e);
  CHECK(d.ofService("model").empty());
}

TEST_CASE("a run that has left is not taken up again, a new one is") {
  Directory d = makeDirectory();
  d.put(entry("a", 1));
  d.remove("a", NoDoubt, Start);
  d.put(entry("a", 1));
  CHECK(d.ofService("model").empty());
  d.put(entry("a", 2));
  CHECK(d.ofService("model").size() == 1);
}

TEST_CASE("a server that was cut off from the store is taken up after it says "
          "that it is sound") {
  Directory d = makeDirectory();
  std::vector<ServerEntry> returned;
  d.onReappearance([&](const ServerEntry &e) { returned.push_back(e); });
  d.put(entry("a", 1));
  d.remove("a", NoDoubt, Start);
  d.put(entry("a", 1));
  d.put(entry("a", 1));
  REQUIRE(returned.size() == 1);
  CHECK(d.ofService("model").empty());

  SECTION("it says so") {
    CHECK(d.readmit(returned[0]));
    CHECK(d.ofService("model").size() == 1);
  }
  SECTION("it leaves meanwhile") {
    ServerEntry e = entry("a", 1);
    e.Draining = true;
    d.put(e);
    CHECK_FALSE(d.readmit(returned[0]));
    CHECK(d.ofService("model").empty());
  }
}

TEST_CASE("a run that said that it leaves does not return") {
  Directory d = makeDirectory();
  int returns = 0;
  d.onReappearance([&](const ServerEntry &) { ++returns; });
  d.put(entry("a", 1));
  ServerEntry e = entry("a", 1);
  e.Draining = true;
  d.put(e);
  d.remove("a", NoDoubt, Start);
  d.put(entry("a", 1));
  CHECK(returns == 0);
  CHECK(d.ofService("model").empty());
}

TEST_CASE("a restart under the same id starts without what was known") {
  Directory d = makeDirectory();
  d.put(entry("a", 1));
  d.find("a")->LocalWork.Requests = 7;
  d.find("a")->CachedParts.recordUse(1, 100, Start);
  d.put(entry("a", 2));
  CHECK(d.find("a")->LocalWork.Requests == 0);
  CHECK_FALSE(d.find("a")->CachedParts.contains(1));
}

TEST_CASE("an entry that lapsed with the store is kept until the doubt ends") {
  Directory d = makeDirectory();
  MonoTime doubtUntil = Start + std::chrono::seconds(2);
  d.replaceAll({entry("a"), entry("b")}, NoDoubt, Start);
  d.replaceAll({entry("a")}, doubtUntil, Start);
  d.removeMissing(doubtUntil - Milliseconds(1));
  CHECK(d.ofService("model").size() == 2);

  SECTION("back in time") {
    d.put(entry("b"));
    d.removeMissing(doubtUntil);
    CHECK(d.ofService("model").size() == 2);
  }
  SECTION("still missing") {
    d.removeMissing(doubtUntil);
    CHECK(d.ofService("model").size() == 1);
  }
}

TEST_CASE("a removal late in the doubt waits no longer than the doubt") {
  Directory d = makeDirectory();
  MonoTime doubtUntil = Start + std::chrono::seconds(2);
  d.put(entry("a"));
  d.remove("a", doubtUntil, doubtUntil - Milliseconds(100));
  d.removeMissing(doubtUntil);
  CHECK(d.ofService("model").empty());
}

TEST_CASE("an address that another server answers at is given up") {
  Directory d = makeDirectory();
  d.put(entry("a"));
  ServerPtr server = d.find("a");
  d.removePermanently(server, "another server answers");
  CHECK(server->Leaving);
  CHECK(d.find("a") == nullptr);
}
