#include "StandIns/Placement/FleetSimulation.h"
#include "StandIns/Placement/Loads.h"
#include "StandIns/Placement/Plot.h"

#include <gflags/gflags.h>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <fstream>
#include <iostream>

DEFINE_int32(processes, 195, "number of processes");
DEFINE_int32(engines, 124, "number of engines");
DEFINE_double(prefill_ratio, 0.23, "ratio of the engines in the prefill role");
DEFINE_double(load, 1, "factor on the load per engine");
DEFINE_bool(long_prompts, false, "long prompts with large shared parts");
DEFINE_double(slow_ratio, 0, "ratio of the engines that are slow");
DEFINE_bool(reports, false, "know loads by reports instead of trackers");
DEFINE_int32(report_age_ms, 300, "mean age of the reports");
DEFINE_double(seconds, 40, "duration");
DEFINE_uint64(seed, 1, "seed");
DEFINE_string(svg, "", "file for a plot over the number of processes");

using namespace sardineford;
using namespace sardineford::standins;

namespace {

FleetSimulationOptions optionsOfFlags() {
  FleetSimulationOptions o;
  o.Processes = static_cast<unsigned>(FLAGS_processes);
  o.Engines = static_cast<unsigned>(FLAGS_engines);
  o.PrefillRatio = FLAGS_prefill_ratio;
  o.SlowRatio = FLAGS_slow_ratio;
  o.FailureDomains = 5;
  o.Knowledge =
      FLAGS_reports ? LoadKnowledge::Reports : LoadKnowledge::Trackers;
  o.ReportAge = Milliseconds(FLAGS_report_age_ms);
  o.Duration = Seconds(FLAGS_seconds);
  o.Seed = FLAGS_seed;
  o.Classes = mixedLoad(FLAGS_load * FLAGS_engines);
  o.Shape = swingingShape;
  if (FLAGS_long_prompts) {
    o.Classes = longPromptLoad(FLAGS_load * FLAGS_engines);
    o.Shape = nullptr;
    o.Engine = longPromptEngine();
  }
  return o;
}

void print(const FleetOutcome &out) {
  std::cout << fmt::format(
      "in time {:.3f}, busiest prefill engine {:.2f}, separate prefills {}, "
      "prefill engines busy {:.2f}, shared parts prefilled {:.2f}\n",
      out.inTimeRatio(), out.BusiestPrefillEngine, out.SeparatePrefills,
      out.PrefillUtilization, out.SharedPrefilledRatio);
  for (const auto &[name, it] : out.Classes) {
    double n = std::max(1U, it.Requests);
    std::cout << fmt::format(
        "{:10} {:6} requests, in time {:.3f}, late first event {:.3f}, late "
        "pause {:.3f}, rejected {:.3f}, served {:.3f}, largest served {:.3f}, "
        "largest in time {:.3f}\n",
        name, it.Requests, it.InTime / n, it.LateFirstEvent / n,
        it.LatePause / n, it.Rejected / n, it.Served / n,
        static_cast<double>(it.LargeServed) / std::max(1U, it.Large),
        static_cast<double>(it.LargeInTime) / std::max(1U, it.Large));
  }
}

/// Simulates fleets of several sizes with both ways to know the loads.
PlotSeries simulateSizes(LoadKnowledge knowledge, std::string name) {
  PlotSeries series{std::move(name), {}};
  for (unsigned processes : {6U, 30U, 60U, 100U, 195U, 350U}) {
    FleetSimulationOptions o = optionsOfFlags();
    o.Processes = processes;
    o.Knowledge = knowledge;
    FleetOutcome out = FleetSimulation(o).run();
    std::cout << fmt::format("{} processes, {}: ", processes, series.Name);
    print(out);
    series.Points.emplace_back(processes, out.inTimeRatio());
  }
  return series;
}

} // namespace

int main(int argc, char **argv) {
  gflags::SetUsageMessage("simulates placement by many processes");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_svg.empty()) {
    print(FleetSimulation(optionsOfFlags()).run());
    return 0;
  }
  std::ofstream file(FLAGS_svg);
  file << renderPlot({"processes", "requests in time"},
                     {simulateSizes(LoadKnowledge::Trackers, "trackers"),
                      simulateSizes(LoadKnowledge::Reports, "reports")});
  if (!file) {
    std::cerr << "cannot write " << FLAGS_svg << "\n";
    return 1;
  }
  return 0;
}
