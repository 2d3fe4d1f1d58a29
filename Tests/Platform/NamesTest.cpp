#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

namespace fs = std::filesystem;

namespace {

/// Names of the platform's wire protocol that only the adapters in platform/
/// may contain.
const std::vector<std::string> WireNames = {"Server-Seal",
                                            "Not-Executed",
                                            "Kv-Source",
                                            "kvHandleId",
                                            "fencingToken",
                                            "Expect-Instance",
                                            "\"Deadline-Ms",
                                            "Request-Priority",
                                            "Token-Counts",
                                            "Prompt-Prefix",
                                            "Instance-Id",
                                            "Server-Load",
                                            "sardineford/objects",
                                            "sardineford/order",
                                            "sardineford/report",
                                            "sardineford/readiness",
                                            "coldRemainingMs",
                                            "trafficSplit",
                                            "pathPrefix",
                                            "targetLatencyMs",
                                            "maxAttempts",
                                            "gapAimMs",
                                            "storeRevision",
                                            "\"Resumes\"",
                                            "apiKeys",
                                            "\"Key\"",
                                            "\"Tenant\"",
                                            "\"tenants\""};

std::string contents(const fs::path &file) {
  std::ifstream in(file);
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

} // namespace

TEST_CASE("only the adapters contain names of the platform's wire protocol") {
  fs::path root = SARDINEFORD_ROOT;
  for (const char *folder : {"Source", "include"})
    for (const auto &it : fs::recursive_directory_iterator(root / folder)) {
      if (!it.is_regular_file())
        continue;
      std::string text = contents(it.path());
      for (const std::string &name : WireNames) {
        INFO(it.path() << " contains " << name);
        CHECK(text.find(name) == std::string::npos);
      }
    }
}
