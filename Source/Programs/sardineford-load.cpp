#include "Load/Run.h"
#include "Sardineford/Common/Error.h"
#include "Sardineford/Common/Log.h"
#include "StandIns/Engine/Text.h"

#include <gflags/gflags.h>

#include <fstream>
#include <iostream>
#include <sstream>

DEFINE_string(entries, "127.0.0.1:8080",
              "comma-separated addresses of entries");
DEFINE_string(scenario, "", "scenario file (JSON)");
DEFINE_uint64(seed, 1, "random seed of arrivals and lengths");
DEFINE_bool(verify, false,
            "compare responses with the text of the stand-in engine");
DEFINE_string(out, "", "output file for the result (JSON)");
DEFINE_string(plot, "", "output file for the chart (SVG)");

using namespace sardineford;

namespace {

std::string readFile(const std::string &name) {
  std::ifstream in(name);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

void writeFile(const std::string &name, const std::string &text) {
  if (!name.empty())
    std::ofstream(name) << text;
}

} // namespace

int main(int argc, char **argv) {
  gflags::SetUsageMessage(
      "Sends an open-loop load to entries and reports the results.");
  gflags::SetVersionString("0.1.0");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  log::start({.DefaultLevel = log::Level::Warning, .Process = "load"});
  try {
    load::Scenario s =
        load::parseScenario(readFile(FLAGS_scenario), FLAGS_scenario);
    load::RunOptions options;
    options.Seed = FLAGS_seed;
    std::istringstream in(FLAGS_entries);
    for (std::string item; std::getline(in, item, ',');)
      options.Entries.push_back(http::parseEndpoint(item));
    if (FLAGS_verify)
      options.IsCorrect = [](const load::CompletionCall &c,
                             const std::string &text) {
        return text ==
               standins::expectedCompletion(c.Model, c.Prompt, c.MaxTokens);
      };
    std::vector<load::RequestRecord> records = load::runScenario(s, options);
    std::string result = load::toJson(s, records);
    std::cout << result << "\n";
    writeFile(FLAGS_out, result);
    writeFile(FLAGS_plot, load::toSvg(s, records));
    return 0;
  } catch (const Error &e) {
    std::cerr << e.what() << "; " << e.Remedy << "\n";
    return 2;
  }
}
