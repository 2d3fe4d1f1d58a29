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

/// A settings file on disk, in a new folder.
class FileOnDisk {
public:
  FileOnDisk() {
    Path = standins::makeTemporaryFolder() + "/settings.json";
    write("info", "127.0.0.1:1");
  }

  void write(const std::string &level, const std::string &listen) const {
    std::ofstream(Path) << R"({"file_test":{"level":")" << level
                        << R"(","listen":")" << listen << R"("}})";
  }

  std::string Path;
};

/// A loaded settings file, with the number of calls to its listener.
struct LoadedFile {
  LoadedFile() {
    File.onChange([this] { ++Notifications; });
  }

  FileOnDisk Disk;
  SettingsFile File{Disk.Path};
  int Notifications = 0;
};

} // namespace

TEST_CASE("reloading a settings file applies the reloadable settings only") {
  LoadedFile r;
  r.Disk.write("debug", "127.0.0.1:2");
  r.File.reload("test");
  CHECK(r.File.values().get(Level) == "debug");
  CHECK(r.File.values().get(Listen) == "127.0.0.1:1");
  CHECK(r.Notifications == 1);
}

TEST_CASE("an invalid or missing settings file changes nothing") {
  LoadedFile r;
  std::ofstream(r.Disk.Path) << R"({"file_test":)";
  r.File.reload("test");
  std::filesystem::remove(r.Disk.Path);
  r.File.reload("test");
  CHECK(r.File.values().get(Level) == "info");
  CHECK(r.File.values().get(Listen) == "127.0.0.1:1");
  CHECK(r.Notifications == 0);
}

TEST_CASE("a changed settings file is reloaded, with and without a signal") {
  FileOnDisk disk;
  SettingsFile file(disk.Path);
  IoContext io(1);
  file.onChange([&] { io.stop(); });
  file.watch(io);
  SECTION("a signal") {
    spawn(io, "change", [&]() -> Awaitable<void> {
      disk.write("debug", "127.0.0.1:1");
      std::raise(SIGHUP);
      co_return;
    });
  }
  SECTION("no signal") {
    spawn(io, "change", [&]() -> Awaitable<void> {
      disk.write("debug", "127.0.0.1:1");
      co_return;
    });
  }
  io.run_for(std::chrono::seconds(30));
  CHECK(file.values().get(Level) == "debug");
}
