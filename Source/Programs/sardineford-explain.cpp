#include "Explain/RequestTrace.h"

#include <gflags/gflags.h>

#include <fstream>
#include <iostream>

using namespace sardineford;

namespace {

constexpr int ExitNotFound = 1;
constexpr int ExitUsageError = 2;

} // namespace

int main(int argc, char **argv) {
  gflags::SetUsageMessage(
      "Traces one request through the logs of the daemons.\n"
      "  sardineford-explain REQUEST-ID LOG-FILE...");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (argc < 3) {
    std::cerr << "give a request id and the log files of the daemons\n";
    return ExitUsageError;
  }
  std::vector<explain::LogLine> all;
  for (int i = 2; i < argc; ++i) {
    std::ifstream in(argv[i]);
    if (!in) {
      std::cerr << argv[i] << ": cannot be read\n";
      return ExitUsageError;
    }
    for (explain::LogLine &it : explain::readLines(in))
      all.push_back(std::move(it));
  }
  std::vector<explain::LogLine> trace = explain::traceRequest(all, argv[1]);
  if (trace.empty()) {
    std::cerr << "no log line has this request id; check that the logs of "
                 "all daemons are given and that no lines were dropped\n";
    return ExitNotFound;
  }
  for (const explain::LogLine &it : trace)
    std::cout << explain::formatLine(it, trace.front().Time) << "\n";
  return 0;
}
