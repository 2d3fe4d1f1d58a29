#include "Node/SettingsFile.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>

using namespace sardineford;
using namespace sardineford::node;

namespace {

using settings::Setting;

const Setting<std::string> Level =
    Setting<std::string>{"file_test.level", "info", "a level"}.whileRunning();
const Setting<std::string> Listen{"file_test.listen", "", "an address"};

/// A settings file of a process, in a folder of its own.
class WrittenFile {
public:
  WrittenFile() {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "sardineford-XXXXXX")
            .string();
    Path = std::string(mkdtemp(pattern.data())) + "/settings.json";
  }

  void write(const std::string &level, const std::string &listen) const {
    std::ofstream(Path) << R"({"file_test":{"level":")" << level
                        << R"(","listen":")" << listen << R"("}})";
  }

  std::string Path;
};

} // namespace

TEST_CASE("a settings file that is read again changes what may change") {
  WrittenFile on;
  on.write("info", "127.0.0.1:1");
  SettingsFile file(on.Path);
  int told = 0;
  file.onChange([&] { ++told; });
  on.write("debug", "127.0.0.1:2");
  file.reread("test");
  CHECK(file.values().get(Level) == "debug");
  CHECK(file.values().get(Listen) == "127.0.0.1:1");
  CHECK(told == 1);
}

TEST_CASE("a settings file with faults changes nothing") {
  WrittenFile on;
  on.write("info", "127.0.0.1:1");
  SettingsFile file(on.Path);
  int told = 0;
  file.onChange([&] { ++told; });
  std::ofstream(on.Path) << R"({"node":)";
  file.reread("test");
  std::filesystem::remove(on.Path);
  file.reread("test");
  CHECK(file.values().get(Level) == "info");
  CHECK(told == 0);
}

TEST_CASE("a settings file is followed, at a signal and without one") {
  WrittenFile on;
  on.write("info", "127.0.0.1:1");
  SettingsFile file(on.Path);
  IoContext io(1);
  file.onChange([&] { io.stop(); });
  file.follow(io);
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
