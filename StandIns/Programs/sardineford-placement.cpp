#include "StandIns/Placement/FleetSimulation.h"
#include "StandIns/Placement/Loads.h"

#include <gflags/gflags.h>
#include <spdlog/fmt/fmt.h>

#include <iostream>

DEFINE_int32(processes, 195, "number of processes");
DEFINE_int32(engines, 124, "number of engines");
DEFINE_double(prefill_ratio, 0.23, "ratio of the engines in the prefill role");
DEFINE_double(load, 1, "factor on the load per engine");
DEFINE_double(slow_ratio, 0, "ratio of the engines that are slow");
DEFINE_bool(reports, false, "know loads by reports instead of trackers");
DEFINE_int32(report_age_ms, 300, "mean age of the reports");
DEFINE_double(seconds, 40, "duration");
DEFINE_uint64(seed, 1, "seed");

using namespace sardineford;
using namespace sardineford::standins;

int main(int argc, char **argv) {
  gflags::SetUsageMessage("simulates placement by many processes");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
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
  FleetOutcome out = FleetSimulation(o).run();
  std::cout << fmt::format(
      "in time {:.3f}, busiest prefill engine {:.2f}, "
      "separate prefills {}, prefill engines busy {:.2f}, shared "
      "parts prefilled {:.2f}\n",
      out.inTimeRatio(), out.BusiestPrefillEngine, out.SeparatePrefills,
      out.PrefillUtilization, out.SharedPrefilledRatio);
  for (const auto &[name, it] : out.Classes)
    std::cout << fmt::format(
        "{:10} {:6} requests, in time {:.3f}, late first event {:.3f}, late "
        "pause {:.3f}, rejected {:.3f}, largest in time {:.3f}\n",
        name, it.Requests, double(it.InTime) / it.Requests,
        double(it.LateFirstEvent) / it.Requests,
        double(it.LatePause) / it.Requests, double(it.Rejected) / it.Requests,
        double(it.LargeInTime) / std::max(1U, it.Large));
  return 0;
}
