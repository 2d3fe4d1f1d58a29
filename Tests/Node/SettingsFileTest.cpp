#include "Node/SettingsFile.h"

#include "StandIns/Deployment/Deployment.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>

using namespace sardineford;
using namespace sardineford::node;

namespace {

using settings::Setting;

const Setting<std::string> Level =
    Setting<std::string>{"file_test.level", "info", "a level"}.reloadable();
const Setting<std::string> Listen{"file_test.listen", "", "an address"};

/// A settings file of a process, in a folder of its own.
class WrittenFile {
public:
  WrittenFile() {
    Path = standins::newFolder() + "/settings.json";
    write("info", "127.0.0.1:1");
  }

  void write(const std::string &level, const std::string &listen) const {
    std::ofstream(Path) << R"({"file_test":{"level":")" << level
                        << R"(","listen":")" << listen << R"("}})";
  }

  std::string Path;
};

/// A file that was read, and how often its reader told of a change.
struct Reading {
  Reading() {
    File.onChange([this] { ++Told; });
  }

  WrittenFile On;
  SettingsFile File{On.Path};
  int Told = 0;
};

} // namespace

TEST_CASE("a settings file that is read again changes what may change") {
  Reading r;
  r.On.write("debug", "127.0.0.1:2");
  r.File.reload("test");
  CHECK(r.File.values().get(Level) == "debug");
  CHECK(r.File.values().get(Listen) == "127.0.0.1:1");
  CHECK(r.Told == 1);
}

TEST_CASE("a settings file with faults changes nothing") {
  Reading r;
  std::ofstream(r.On.Path) << R"({"file_test":)";
  r.File.reload("test");
  std::filesystem::remove(r.On.Path);
  r.File.reload("test");
  CHECK(r.File.values().get(Level) == "info");
  CHECK(r.File.values().get(Listen) == "127.0.0.1:1");
  CHECK(r.Told == 0);
}

TEST_CASE("a settings file is followed, at a signal and without one") {
  WrittenFile on;
  SettingsFile file(on.Path);
  IoContext io(1);
  file.onChange([&] { io.stop(); });
  file.watch(io);
  SECTION("a signal") {
    spawn(io, "change", [&]() -> Awaitable<void> {
      on.write("debug", "127.0.0.1:1");
      std::raise(SIGHUP);
      co_return;
    });
  }
  SECTION("no signal") {
    spawn(io, "change", [&]() -> Awaitable<void> {
      on.write("debug", "127.0.0.1:1");
      co_return;
    });
  }
  io.run_for(std::chrono::seconds(30));
  CHECK(file.values().get(Level) == "debug");
}
