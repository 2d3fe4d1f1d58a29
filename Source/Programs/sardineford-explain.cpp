#include "Explain/Story.h"

#include <gflags/gflags.h>

#include <fstream>
#include <iostream>

using namespace sardineford;

namespace {

constexpr int ExitNotFound = 1;
constexpr int ExitWrongUse = 2;

} // namespace

int main(int argc, char **argv) {
  gflags::SetUsageMessage("Tells one request's story from the daemons' logs.\n"
                          "  sardineford-explain REQUEST-ID LOG-FILE...");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (argc < 3) {
    std::cerr << "name a request id and the log files of the daemons\n";
    return ExitWrongUse;
  }
  std::vector<explain::Line> all;
  for (int i = 2; i < argc; ++i) {
    std::ifstream in(argv[i]);
    if (!in) {
      std::cerr << argv[i] << " cannot be read\n";
      return ExitWrongUse;
    }
    for (explain::Line &it : explain::readLines(in))
      all.push_back(std::move(it));
  }
  std::vector<explain::Line> story = explain::storyOf(all, argv[1]);
  if (story.empty()) {
    std::cerr << "no line names this request; are the logs of all daemons "
                 "here, and were lines dropped?\n";
    return ExitNotFound;
  }
  for (const explain::Line &it : story)
    std::cout << explain::describe(it, story.front().Time) << "\n";
  return 0;
}
