#include "Sardineford/Common/Log.h"
#include "StandIns/Bench/MixBench.h"

#include <boost/json.hpp>
#include <gflags/gflags.h>
#include <spdlog/fmt/fmt.h>

#include <fstream>
#include <iostream>
#include <sstream>

DEFINE_string(programs, ".", "folder with the built programs");
DEFINE_string(examples, "examples", "folder with the examples");
DEFINE_string(folder, "/tmp/sardineford-mix", "folder for logs and settings");
DEFINE_string(scene, "both", "example: nilebridge, trinacria or both");
DEFINE_string(scenario, "", "scenario file instead of the built-in ones");
DEFINE_string(only, "",
              "built-in scenarios to run, separated by commas; empty for all");
DEFINE_string(policies, "goodput,fixed,threshold",
              "role policies to compare, separated by commas");
DEFINE_uint64(seed, 1, "first seed");
DEFINE_int32(seeds, 1, "number of seeds");
DEFINE_double(time_scale, 5, "speed-up over real time");
DEFINE_string(out, "", "file for the result, JSON");

using namespace sardineford;
using namespace sardineford::standins;
namespace json = boost::json;

namespace {

std::vector<std::string> split(const std::string &text) {
  std::vector<std::string> out;
  std::istringstream in(text);
  for (std::string one; std::getline(in, one, ',');)
    out.push_back(one);
  return out;
}

std::string readFile(const std::string &name) {
  std::ifstream in(name);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

/// Returns the built-in scenarios, or the scenario of the file in --scenario.
std::vector<load::Scenario> makeScenarios(const ExampleDeployment &example,
                                          int engines) {
  if (!FLAGS_scenario.empty())
    return {load::parseScenario(readFile(FLAGS_scenario), FLAGS_scenario)};
  auto make = [&](const char *name, std::vector<double> ratios,
                  double utilization, bool step) {
    return swingScenario(example, name, ratios, utilization, engines,
                         FLAGS_time_scale, step);
  };
  std::vector<double> swing = {0.25, 0.65, 0.25, 0.65, 0.25};
  return {make("swing-70", swing, 0.7, false),
          make("swing-90", swing, 0.9, false),
          make("step-90", {0.25, 0.25, 0.65, 0.65, 0.65}, 0.9, true),
          make("rush-130", swing, 1.3, false)};
}

bool isSelected(const std::string &name) {
  std::vector<std::string> only = split(FLAGS_only);
  return only.empty() ||
         std::find(only.begin(), only.end(), name) != only.end();
}

json::object runOne(const ExampleDeployment &example, const load::Scenario &s,
                    int engines, const std::string &policy, uint64_t seed) {
  MixRunOptions o;
  o.Programs = FLAGS_programs;
  o.Examples = FLAGS_examples;
  o.Folder = fmt::format("{}/{}-{}-{}-{}", FLAGS_folder, example.Name, s.Name,
                         policy, seed);
  o.Setup = example;
  o.Policy = policy;
  o.Engines = engines;
  o.InitialPrefill = bestFixedPrefill(s, engines, FLAGS_time_scale);
  o.TimeScale = FLAGS_time_scale;
  o.Seed = seed;
  o.Scenario = s;
  MixRunResult r = runMix(o);
  double bound = offlineUpperBound(s, engines, FLAGS_time_scale);
  const load::Summary &a = r.All;
  std::cout << fmt::format(
                   "{:10} {:9} {:9} seed {} good {:6.2f}% of {} (bound "
                   "{:.1f}%) rejected {} late {} failed {} wrong {} changes {} "
                   "first95 {:.0f} ms between95 {:.1f} ms rejection99 {:.0f} ms"
                   " {}",
                   example.Name, s.Name, policy, seed, a.goodRatio() * 100,
                   a.Requests, bound * 100, a.Rejected, a.Late, a.Failed,
                   a.Incorrect, r.RoleChanges,
                   a.FirstTokenMs95 * FLAGS_time_scale,
                   a.BetweenTokensMs95 * FLAGS_time_scale, a.RejectionMs99,
                   r.Failure)
            << std::endl;
  for (const auto &[name, k] : r.Kinds)
    std::cout << fmt::format("    {:10} good {:6.2f}% of {} rejected {} late {}"
                             " failed {} first95 {:.0f} ms\n",
                             name, k.goodRatio() * 100, k.Requests, k.Rejected,
                             k.Late, k.Failed,
                             k.FirstTokenMs95 * FLAGS_time_scale);
  return {{"scene", example.Name},
          {"scenario", s.Name},
          {"policy", policy},
          {"seed", seed},
          {"requests", a.Requests},
          {"good_share", a.goodRatio()},
          {"bound", bound},
          {"refused", a.Rejected},
          {"late", a.Late},
          {"failed", a.Failed},
          {"wrong", a.Incorrect},
          {"role_changes", r.RoleChanges},
          {"first_token_ms_95", a.FirstTokenMs95 * FLAGS_time_scale},
          {"between_tokens_ms_95", a.BetweenTokensMs95 * FLAGS_time_scale},
          {"refusal_ms_99", a.RejectionMs99},
          {"failure", r.Failure}};
}

} // namespace

int main(int argc, char **argv) {
  gflags::SetUsageMessage(
      "Measures goodput and role changes under a shifting request mix for each "
      "role policy.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  log::start({.DefaultLevel = log::Level::Error, .Process = "mix"});
  json::array results;
  std::vector<ExampleDeployment> deployments;
  if (FLAGS_scene != "trinacria")
    deployments.push_back(nilebridge());
  if (FLAGS_scene != "nilebridge")
    deployments.push_back(trinacria());
  for (const ExampleDeployment &example : deployments) {
    int engines = example.Name == "nilebridge" ? 9 : 12;
    for (const load::Scenario &s : makeScenarios(example, engines))
      for (int n = 0; n < FLAGS_seeds && isSelected(s.Name); ++n)
        for (const std::string &policy : split(FLAGS_policies))
          results.push_back(runOne(example, s, engines, policy,
                                   FLAGS_seed + static_cast<uint64_t>(n)));
  }
  if (!FLAGS_out.empty())
    std::ofstream(FLAGS_out) << json::serialize(results);
  return 0;
}
