#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

namespace fs = std::filesystem;

namespace {

/// Names on the platform's wire that no other place may know.
const std::vector<std::string> WireNames = {
    "Server-Seal",         "Not-Executed",
    "Kv-Source",           "kvHandleId",
    "fencingToken",        "Expect-Instance",
    "\"Deadline-Ms",       "Request-Priority",
    "Token-Counts",        "Prompt-Prefix",
    "Instance-Id",         "Server-Load",
    "sardineford/objects", "sardineford/order",
    "sardineford/report",  "sardineford/readiness",
    "coldRemainingMs",     "trafficSplit",
    "pathPrefix",          "targetLatencyMs",
    "maxAttempts",         "gapAimMs",
    "storeRevision"};

std::string contents(const fs::path &file) {
  std::ifstream in(file);
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

} // namespace

TEST_CASE("only the adapter knows the platform's names") {
  fs::path root = SARDINEFORD_ROOT;
  for (const char *folder : {"Source", "include"})
    for (const auto &it : fs::recursive_directory_iterator(root / folder)) {
      if (!it.is_regular_file())
        continue;
      std::string text = contents(it.path());
      for (const std::string &name : WireNames) {
        INFO(it.path() << " knows " << name);
        CHECK(text.find(name) == std::string::npos);
      }
    }
}
