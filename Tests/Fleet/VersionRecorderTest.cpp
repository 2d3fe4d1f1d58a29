#include "Fleet/VersionRecorder.h"

#include <catch2/catch.hpp>

#include <map>

using namespace sardineford;
using namespace sardineford::fleet;
using store::Failure;
using store::Object;
using store::ObjectList;
using store::StoreError;

namespace {

/// A store of one kind of object.
class MemoryStore : public store::ObjectStore {
public:
  std::map<std::string, Object> Objects;
  uint64_t Revision = 10;
  int Lists = 0;
  int Gets = 0;
  int Puts = 0;
  std::optional<Failure> PutsFail;
  /// The write takes effect although it fails.
  bool IsFailedPutApplied = false;

  Awaitable<std::optional<Object>> get(std::string, std::string name) override {
    ++Gets;
    auto it = Objects.find(name);
    co_return it == Objects.end() ? std::nullopt
                                  : std::make_optional(it->second);
  }
  Awaitable<ObjectList> list(std::string) override {
    ++Lists;
    ObjectList out;
    out.Revision = Revision;
    for (const auto &[name, it] : Objects)
      out.Objects.push_back(it);
    co_return out;
  }
  Awaitable<uint64_t> put(std::string kind, std::string name, std::string value,
                          uint64_t expected) override {
    ++Puts;
    if (PutsFail && !IsFailedPutApplied)
      throw StoreError(*PutsFail, "scripted");
    auto it = Objects.find(name);
    uint64_t current = it == Objects.end() ? 0 : it->second.Version;
    if (current != expected)
      throw StoreError(Failure::VersionConflict, "scripted");
    Objects[name] = {kind, name, ++Revision, value};
    if (PutsFail)
      throw StoreError(*PutsFail, "scripted");
    co_return Revision;
  }
  Awaitable<void> remove(std::string, std::string, uint64_t) override {
    co_return;
  }
  Awaitable<store::Changes> watch(std::string, uint64_t,
                                  Milliseconds) override {
    co_return store::Changes{};
  }

  void putRecord(const VersionRecord &record) {
    std::string name = recordName(record.Service);
    Objects[name] = {VersionRecordKind, name, record.Version,
                     encodeRecord(record)};
  }
  std::set<std::string> versions() const {
    auto it = Objects.find(recordName("model"));
    return it == Objects.end() ? std::set<std::string>{}
                               : decodeRecord(it->second.Value, 1).Versions;
  }
};

struct Fixture {
  IoContext Io{1};
  MemoryStore Store;
  Directory Servers{[](const Server &, std::string_view) {}};
  metrics::Metrics Metrics;
  VersionRecorder Recorder{Io, Store, Servers, Metrics};
  std::vector<VersionRecord> Sent;

  explicit Fixture(unsigned rank = 0) {
    Recorder.setServices({"model"});
    Recorder.setPosition(FleetPosition{6, rank});
    Recorder.onWritten([this](const VersionRecord &it) { Sent.push_back(it); });
  }

  void addServer(const std::string &id, const std::string &version) {
    ServerEntry e;
    e.Id = id;
    e.Service = "model";
    e.Address = {"10.0.0.1", 80};
    e.SoftwareVersion = version;
    e.StartedMs = 1;
    Servers.put(e);
  }
  void runFor(Milliseconds t) {
    Io.restart();
    Io.run_for(t);
  }
  bool mayBegin(const std::string &version) const {
    return Recorder.mayBegin("model", version, MonoClock::now());
  }
};

constexpr Milliseconds SomeTime{100};

} // namespace

TEST_CASE("a new version is recorded before streams begin at its servers") {
  Fixture t;
  t.addServer("a", "v1");
  CHECK_FALSE(t.mayBegin("v1"));
  t.Recorder.start();
  t.runFor(SomeTime);
  CHECK(t.Store.versions() == std::set<std::string>{"v1"});
  CHECK(t.mayBegin("v1"));
  t.addServer("b", "v2");
  CHECK_FALSE(t.mayBegin("v2"));
  t.runFor(SomeTime);
  CHECK(t.Store.versions() == std::set<std::string>{"v1", "v2"});
  CHECK(t.mayBegin("v2"));
  // One write a release, which the peers are told of.
  CHECK(t.Store.Puts == 2);
  CHECK(t.Store.Lists == 1);
  REQUIRE(t.Sent.size() == 2);
  CHECK(t.Sent[1].Versions == std::set<std::string>{"v1", "v2"});
}

TEST_CASE("a process that is not the first writes nothing that a peer writes") {
  Fixture t(3);
  t.Store.putRecord({"model", {"v1"}, 9});
  t.addServer("a", "v1");
  t.addServer("b", "v2");
  t.Recorder.start();
  t.runFor(SomeTime);
  CHECK_FALSE(t.mayBegin("v2"));
  t.Recorder.applyPublished({"model", {"v1", "v2"}, 11});
  CHECK(t.mayBegin("v2"));
  t.runFor(std::chrono::seconds(1));
  CHECK(t.Store.Puts == 0);
}

TEST_CASE("another process writes a record if the first one does not") {
  Fixture t(1);
  t.addServer("a", "v1");
  t.Recorder.start();
  t.runFor(std::chrono::seconds(1));
  CHECK(t.Store.versions() == std::set<std::string>{"v1"});
}

TEST_CASE("a record that another process has written meanwhile is kept") {
  Fixture t;
  t.Recorder.start();
  t.runFor(SomeTime);
  t.Store.putRecord({"model", {"v0", "v1"}, ++t.Store.Revision});
  t.addServer("b", "v2");
  t.runFor(SomeTime);
  CHECK(t.Store.versions() == std::set<std::string>{"v0", "v1", "v2"});
}

TEST_CASE("a process that has missed the news of a record reads it") {
  Fixture t(1);
  t.Recorder.start();
  t.runFor(SomeTime);
  t.Store.putRecord({"model", {"v1"}, ++t.Store.Revision});
  t.addServer("a", "v1");
  t.runFor(std::chrono::seconds(1));
  CHECK(t.mayBegin("v1"));
  CHECK(t.Store.Puts == 0);
  CHECK(t.Store.Gets == 1);
}

TEST_CASE("a write whose answer is lost is found by a read") {
  Fixture t;
  t.addServer("a", "v1");
  t.Store.PutsFail = Failure::Ambiguous;
  t.Store.IsFailedPutApplied = true;
  t.Recorder.start();
  t.runFor(SomeTime);
  CHECK(t.mayBegin("v1"));
  CHECK(t.Store.Puts == 1);
}

TEST_CASE("a new version gets streams if its record cannot be written for "
          "long") {
  Fixture t;
  t.addServer("a", "v1");
  t.Store.PutsFail = Failure::Unavailable;
  t.Recorder.start();
  t.runFor(SomeTime);
  CHECK_FALSE(t.mayBegin("v1"));
  CHECK(t.Recorder.mayBegin("model", "v1", MonoClock::now() + MaxRecordDelay));
  int puts = t.Store.Puts;
  t.runFor(std::chrono::seconds(2));
  // The store is not pressed while it fails.
  CHECK(t.Store.Puts - puts <= 10);
  t.Store.PutsFail.reset();
  t.runFor(std::chrono::seconds(1));
  CHECK(t.Store.versions() == std::set<std::string>{"v1"});
}

TEST_CASE("a record that a restored store lacks is written again") {
  Fixture t;
  t.addServer("a", "v1");
  t.Recorder.start();
  t.runFor(SomeTime);
  t.Store.Objects.clear();
  t.Recorder.readAgain();
  t.runFor(SomeTime);
  CHECK(t.Store.versions() == std::set<std::string>{"v1"});
}

TEST_CASE("an object that is no record is overwritten") {
  Fixture t;
  std::string name = recordName("model");
  t.Store.Objects[name] = {VersionRecordKind, name, 5, "[1"};
  t.addServer("a", "v1");
  t.Recorder.start();
  t.runFor(std::chrono::seconds(1));
  CHECK(t.Store.versions() == std::set<std::string>{"v1"});
  CHECK(t.mayBegin("v1"));
}

TEST_CASE("a version that departed long ago is removed from the record") {
  Fixture t;
  t.Store.putRecord({"model", {"v0", "v1"}, 9});
  t.addServer("a", "v1");
  t.Servers.applyRecord({"model", {"v0", "v1"}, 9},
                        MonoClock::now() - StreamMemory);
  t.Recorder.start();
  t.runFor(SomeTime);
  CHECK(t.Store.versions() == std::set<std::string>{"v1"});
  CHECK(t.Store.Puts == 1);
}
