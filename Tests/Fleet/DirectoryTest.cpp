#include "Sardineford/Fleet/Directory.h"

#include <catch2/catch.hpp>

using namespace sardineford;
using namespace sardineford::fleet;

namespace {

constexpr MonoTime Start{std::chrono::seconds(100)};
/// No recent store failure: servers with missing entries are removed at once.
constexpr MonoTime NoGracePeriod{};

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

TEST_CASE("a draining server receives no new work") {
  Directory d = makeDirectory();
  d.put(entry("a"));
  CHECK(d.ofService("model").size() == 1);
  ServerEntry e = entry("a");
  e.Draining = true;
  d.put(e);
  CHECK(d.ofService("model").empty());
}

TEST_CASE("a removed incarnation is not added again, a new one is") {
  Directory d = makeDirectory();
  d.put(entry("a", 1));
  d.remove("a", NoGracePeriod, Start);
  d.put(entry("a", 1));
  CHECK(d.ofService("model").empty());
  d.put(entry("a", 2));
  CHECK(d.ofService("model").size() == 1);
}

TEST_CASE("a server that lost its connection to the store is readmitted after "
          "it reports that it is healthy") {
  Directory d = makeDirectory();
  std::vector<ServerEntry> reappeared;
  d.onReappearance([&](const ServerEntry &e) { reappeared.push_back(e); });
  d.put(entry("a", 1));
  d.remove("a", NoGracePeriod, Start);
  d.put(entry("a", 1));
  d.put(entry("a", 1));
  REQUIRE(reappeared.size() == 1);
  CHECK(d.ofService("model").empty());

  SECTION("the server reports that it is healthy") {
    CHECK(d.readmit(reappeared[0]));
    CHECK(d.ofService("model").size() == 1);
  }
  SECTION("the server leaves in the meantime") {
    ServerEntry e = entry("a", 1);
    e.Draining = true;
    d.put(e);
    CHECK_FALSE(d.readmit(reappeared[0]));
    CHECK(d.ofService("model").empty());
  }
}

TEST_CASE("an incarnation that announced that it leaves is not readmitted") {
  Directory d = makeDirectory();
  int reappearances = 0;
  d.onReappearance([&](const ServerEntry &) { ++reappearances; });
  d.put(entry("a", 1));
  ServerEntry e = entry("a", 1);
  e.Draining = true;
  d.put(e);
  d.remove("a", NoGracePeriod, Start);
  d.put(entry("a", 1));
  CHECK(reappearances == 0);
  CHECK(d.ofService("model").empty());
}

TEST_CASE(
    "a restart under the same id discards the state of the old incarnation") {
  Directory d = makeDirectory();
  d.put(entry("a", 1));
  d.find("a")->LocalWork.Requests = 7;
  d.find("a")->CachedParts.recordUse(1, 100, Start);
  d.put(entry("a", 2));
  CHECK(d.find("a")->LocalWork.Requests == 0);
  CHECK_FALSE(d.find("a")->CachedParts.contains(1));
}

TEST_CASE("an entry that expired with the store is kept for the grace period") {
  Directory d = makeDirectory();
  MonoTime graceEnd = Start + std::chrono::seconds(2);
  d.replaceAll({entry("a"), entry("b")}, NoGracePeriod, Start);
  d.replaceAll({entry("a")}, graceEnd, Start);
  d.removeMissing(graceEnd - Milliseconds(1));
  CHECK(d.ofService("model").size() == 2);

  SECTION("the entry reappears in time") {
    d.put(entry("b"));
    d.removeMissing(graceEnd);
    CHECK(d.ofService("model").size() == 2);
  }
  SECTION("the entry is still missing") {
    d.removeMissing(graceEnd);
    CHECK(d.ofService("model").size() == 1);
  }
}

TEST_CASE("a removal late in the grace period waits only until its end") {
  Directory d = makeDirectory();
  MonoTime graceEnd = Start + std::chrono::seconds(2);
  d.put(entry("a"));
  d.remove("a", graceEnd, graceEnd - Milliseconds(100));
  d.removeMissing(graceEnd);
  CHECK(d.ofService("model").empty());
}

// Seen in review case 11: each further read without the entry began the period
// anew.
TEST_CASE("an entry that is still missing does not move the end of its grace "
          "period") {
  Directory d = makeDirectory();
  MonoTime graceEnd = Start + std::chrono::seconds(2);
  d.replaceAll({entry("a")}, NoGracePeriod, Start);
  d.replaceAll({}, graceEnd, Start);
  d.replaceAll({}, graceEnd + std::chrono::seconds(2), Start);
  d.remove("a", graceEnd + std::chrono::seconds(2), Start);
  d.removeMissing(graceEnd - Milliseconds(1));
  CHECK(d.ofService("model").size() == 1);
  d.removeMissing(graceEnd);
  CHECK(d.ofService("model").empty());
}

TEST_CASE("a missing entry is kept over a few outages of the store, not over "
          "any number") {
  Directory d = makeDirectory();
  MonoTime graceEnd = Start + std::chrono::seconds(2);
  d.replaceAll({entry("a"), entry("b")}, NoGracePeriod, Start);
  d.replaceAll({}, graceEnd, Start);
  for (unsigned i = 0; i < MaxGraceExtensions; ++i) {
    graceEnd += std::chrono::seconds(2);
    d.keepMissing(graceEnd);
    d.removeMissing(graceEnd - Milliseconds(1));
    CHECK(d.ofService("model").size() == 2);
  }
  // An entry that reappears counts anew.
  d.put(entry("b"));
  d.remove("b", graceEnd, Start);
  d.keepMissing(graceEnd + std::chrono::seconds(2));
  d.removeMissing(graceEnd);
  CHECK(d.find("a") == nullptr);
  CHECK(d.find("b") != nullptr);
}

TEST_CASE("a server is removed when another server answers at its address") {
  Directory d = makeDirectory();
  d.put(entry("a"));
  ServerPtr server = d.find("a");
  d.removePermanently(server, "another server answers");
  CHECK(server->Leaving);
  CHECK(d.find("a") == nullptr);
}

TEST_CASE(
    "a software version counts while its servers leave and for the time in "
    "which streams are taken up") {
  Directory d = makeDirectory();
  MonoTime now = MonoClock::now();
  ServerEntry first = entry("a");
  first.SoftwareVersion = "v1";
  ServerEntry second = entry("b");
  second.SoftwareVersion = "v1.1";
  d.put(first);
  CHECK(d.softwareVersions("model", now) == std::set<std::string>{"v1"});
  d.put(second);
  first.Draining = true;
  d.put(first);
  std::set<std::string> both = {"v1", "v1.1"};
  CHECK(d.softwareVersions("model", now) == both);
  d.remove("a", NoGracePeriod, Start);
  CHECK(d.softwareVersions("model", now) == both);
  CHECK(d.softwareVersions("model", MonoClock::now() + StreamMemory) ==
        std::set<std::string>{"v1.1"});
  CHECK(d.softwareVersions("other", now).empty());
}

TEST_CASE("an entry with another software version is another incarnation") {
  Directory d = makeDirectory();
  ServerEntry e = entry("a");
  e.SoftwareVersion = "v1";
  d.put(e);
  ServerPtr before = d.find("a");
  e.SoftwareVersion = "v1.1";
  d.put(e);
  CHECK(before->Leaving);
  CHECK(before->Entry.SoftwareVersion == "v1");
  CHECK(d.ofService("model").size() == 1);
}

TEST_CASE("a server that says it leaves is not used until it starts again") {
  Directory d = makeDirectory();
  d.put(entry("a"));
  d.markLeaving("a", 2, "another incarnation", Start);
  CHECK(d.ofService("model").size() == 1);
  d.markLeaving("a", 1, "said that it leaves", Start);
  CHECK(d.ofService("model").empty());
  REQUIRE(d.leavingOf("model").size() == 1);
  CHECK(d.leavingOf("model")[0]->LeavingSaidAt == Start);
  // A renewed entry, also one that the store has lost meanwhile.
  ServerEntry changed = entry("a");
  changed.Slots = 5;
  d.put(changed);
  d.replaceAll({changed}, NoGracePeriod, Start);
  CHECK(d.ofService("model").empty());
  d.remove("a", NoGracePeriod, Start);
  d.put(changed);
  CHECK(d.ofService("model").empty());
  d.put(entry("a", 2));
  CHECK(d.ofService("model").size() == 1);
  CHECK(d.leavingOf("model").empty());
}

namespace {

ServerEntry versioned(const std::string &id, const std::string &version) {
  ServerEntry e = entry(id);
  e.SoftwareVersion = version;
  return e;
}

} // namespace

TEST_CASE("a recorded version counts after a start at which it has no server") {
  Directory d = makeDirectory();
  d.applyRecord({"model", {"v1", "v1.1"}, 7}, Start);
  d.setRecordsRead();
  d.put(versioned("a", "v1.1"));
  CHECK(d.softwareVersions("model", Start) ==
        std::set<std::string>{"v1", "v1.1"});
  CHECK(d.isVersionHistoryKnown());

  SECTION("until no caller can come back with its streams") {
    CHECK(d.softwareVersions("model", Start + StreamMemory) ==
          std::set<std::string>{"v1.1"});
  }
  SECTION("a newer record does not make it count for longer") {
    MonoTime later = Start + StreamMemory / 2;
    d.applyRecord({"model", {"v1", "v1.1", "v2"}, 8}, later);
    CHECK(d.softwareVersions("model", Start + StreamMemory) ==
          std::set<std::string>{"v1.1", "v2"});
  }
}

TEST_CASE("the only recorded version is the only one after a start") {
  Directory d = makeDirectory();
  d.applyRecord({"model", {"v1"}, 7}, Start);
  d.setRecordsRead();
  d.put(versioned("a", "v1"));
  CHECK(d.softwareVersions("model", Start) == std::set<std::string>{"v1"});
  CHECK(d.isVersionHistoryKnown());
}

TEST_CASE("the versions of a service are not known before its record is read") {
  Directory d = makeDirectory();
  d.put(versioned("a", "v1"));
  CHECK_FALSE(d.isVersionHistoryKnown());
  // A peer may send it before this process has read the others.
  d.applyRecord({"model", {"v1"}, 7}, Start);
  CHECK_FALSE(d.isVersionHistoryKnown());
  d.setRecordsRead();
  CHECK(d.isVersionHistoryKnown());
}

TEST_CASE("a service without a record has had no other version") {
  Directory d = makeDirectory();
  d.put(versioned("a", "v1"));
  d.setRecordsRead();
  CHECK(d.softwareVersions("model", Start) == std::set<std::string>{"v1"});
  CHECK(d.isVersionHistoryKnown());
}

TEST_CASE("a version that a peer has recorded counts before its server is "
          "found") {
  Directory d = makeDirectory();
  d.applyRecord({"model", {"v1"}, 7}, Start);
  d.setRecordsRead();
  d.put(versioned("a", "v1"));
  d.applyRecord({"model", {"v1", "v1.1"}, 8}, Start);
  CHECK(d.softwareVersions("model", Start).size() == 2);
  CHECK(d.isRecorded("model", "v1.1"));
  CHECK_FALSE(d.isRecorded("model", "v2"));
}

TEST_CASE("a server that says it leaves while its entry is missing is not "
          "readmitted") {
  Directory d = makeDirectory();
  std::vector<ServerEntry> reappeared;
  d.onReappearance([&](const ServerEntry &it) { reappeared.push_back(it); });
  d.put(entry("a"));
  d.remove("a", NoGracePeriod, Start);
  d.markLeaving("a", entry("a").StartedMs, "said that it leaves", Start);
  d.put(entry("a"));
  CHECK(reappeared.empty());
  CHECK(d.ofService("model").empty());
  // A restart under the same id is another incarnation.
  d.put(entry("a", entry("a").StartedMs + 1));
  CHECK(d.ofService("model").size() == 1);
}

TEST_CASE("a server that says it leaves during its health check is not "
          "readmitted") {
  Directory d = makeDirectory();
  d.put(entry("a"));
  d.remove("a", NoGracePeriod, Start);
  d.put(entry("a"));
  CHECK(d.awaitsReadmission(entry("a")));
  d.markLeaving("a", entry("a").StartedMs, "said that it leaves", Start);
  CHECK_FALSE(d.readmit(entry("a")));
  CHECK(d.ofService("model").empty());
}

// Guards against pacing all servers after each start of a process.
TEST_CASE(
    "servers in the first list are established unless they just started") {
  Directory d = makeDirectory();
  int64_t nowMs =
      toMilliseconds(std::chrono::system_clock::now().time_since_epoch())
          .count();
  d.replaceAll({entry("old"), entry("young", nowMs - 5'000)}, NoGracePeriod,
               Start);
  d.replaceAll({entry("old"), entry("young", nowMs - 5'000), entry("later")},
               NoGracePeriod, Start);
  CHECK(d.find("old")->AvailableSince == MonoTime{});
  CHECK(d.find("young")->AvailableSince != MonoTime{});
  CHECK(d.find("later")->AvailableSince != MonoTime{});
}
