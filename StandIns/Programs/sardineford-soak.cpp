#include "Sardineford/Common/Log.h"
#include "StandIns/Soak/Soak.h"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_uint64(seed, 1, "seed of the first run");
DEFINE_int32(runs, 1, "number of runs; each uses the next seed");
DEFINE_int32(seconds, 8, "duration of the fault injection, s");
DEFINE_uint32(daemons, 3, "number of daemons; more than 12 form a large fleet");
DEFINE_bool(faults, true, "inject faults");
DEFINE_bool(planned_only, false,
            "inject only short silences of backend servers and changes of the "
            "configuration, under which every response must be complete");
DEFINE_bool(
    hazards, true,
    "send requests that crash engines, and let one engine name a limit; "
    "not with planned_only");
DEFINE_bool(repeated_rejections, false,
            "let all backend servers reject some requests without an id and "
            "write these rejections once more");
DEFINE_bool(cut_daemons, true,
            "cut daemons off from all backend servers; with up to eight");
DEFINE_bool(odd_entries, true,
            "let another writer leave odd entries among those of the backend "
            "servers");
DEFINE_bool(endless, true,
            "let backend servers answer without an end for short times; not "
            "with planned_only");
DEFINE_string(programs, "build/release", "folder with the built programs");
DEFINE_string(folder, "out/soak", "folder for logs and histories");

using namespace sardineford;

int main(int argc, char **argv) {
  gflags::SetUsageMessage(
      "Runs randomized soak tests of the daemon under faults.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  log::start({.DefaultLevel = log::Level::Warning, .Process = "soak"});
  int failed = 0;
  for (int i = 0; i < FLAGS_runs; ++i) {
    standins::SoakOptions o;
    o.Seed = FLAGS_seed + static_cast<uint64_t>(i);
    o.Length = std::chrono::seconds(FLAGS_seconds);
    o.Faults = FLAGS_faults;
    o.PlannedOnly = FLAGS_planned_only;
    o.Hazards = FLAGS_hazards && !FLAGS_planned_only;
    o.RepeatsRejections = FLAGS_repeated_rejections;
    o.OddEntries = FLAGS_odd_entries;
    o.EndlessResponses = FLAGS_endless && !FLAGS_planned_only;
    o.CutsDaemons = FLAGS_cut_daemons;
    o.Daemons = FLAGS_daemons;
    o.Programs = FLAGS_programs;
    o.Folder = FLAGS_folder + "/" + std::to_string(o.Seed);
    standins::SoakReport r = standins::runSoak(o);
    std::cout << "seed " << o.Seed << ": " << r.Faults << " faults";
    for (const auto &[outcome, n] : r.Outcomes)
      std::cout << ", " << n << " " << outcome;
    std::cout << ", " << r.Violations.size() << " violations\n";
    for (const std::string &it : r.Violations)
      std::cout << "  " << it << "\n";
    std::cout << std::flush;
    failed += r.Violations.empty() ? 0 : 1;
  }
  std::cout << FLAGS_runs - failed << " passed, " << failed << " failed\n";
  return failed == 0 ? 0 : 1;
}
