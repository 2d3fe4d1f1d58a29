#include "Sardineford/Common/Log.h"
#include "StandIns/Proof/FaultRun.h"

#include <boost/json.hpp>
#include <gflags/gflags.h>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <atomic>
#include <fstream>
#include <iostream>
#include <mutex>
#include <sstream>

DEFINE_string(programs, ".", "folder with the built programs");
DEFINE_string(examples, "examples", "folder with the examples");
DEFINE_string(folder, "/tmp/sardineford-faults",
              "folder for logs and histories");
DEFINE_string(scene, "both", "example: nilebridge, trinacria or both");
DEFINE_uint64(seed, 1, "first seed");
DEFINE_int32(runs, 10, "number of seeds");
DEFINE_int32(length_ms, 5000, "length of the fault schedule of a run, ms");
DEFINE_int32(parallel, 3, "concurrent runs");
DEFINE_string(
    off, "",
    "settings to override, such as to disable a protection: key=value,...");
DEFINE_string(only, "", "inject only this kind of fault");
DEFINE_string(out, "", "file for the result, JSON");

using namespace sardineford;
using namespace sardineford::standins;
namespace json = boost::json;

namespace {

struct Job {
  ExampleDeployment Example;
  uint64_t Seed = 0;
};

/// Sums over all runs.
struct Totals {
  int Runs = 0;
  int Incomplete = 0;
  WorkloadCounts Counts;
  std::map<std::string, int> FaultsInjected;
  std::map<std::string, int> Violations;
  std::vector<int64_t> Takeovers;
  std::vector<int64_t> ApplyTimes;
  uint64_t Events = 0;
};

std::map<std::string, std::string> parseSettingOverrides() {
  std::map<std::string, std::string> out;
  std::istringstream in(FLAGS_off);
  for (std::string one; std::getline(in, one, ',');)
    out[one.substr(0, one.find('='))] = one.substr(one.find('=') + 1);
  return out;
}

std::vector<Job> makeJobs() {
  std::vector<Job> out;
  for (int i = 0; i < FLAGS_runs; ++i) {
    uint64_t seed = FLAGS_seed + static_cast<uint64_t>(i);
    if (FLAGS_scene != "trinacria")
      out.push_back({nilebridge(), seed});
    if (FLAGS_scene != "nilebridge")
      out.push_back({trinacria(), seed});
  }
  return out;
}

FaultSchedule scheduleOfKind(uint64_t seed, Milliseconds length) {
  FaultSchedule s = makeSchedule(seed, length);
  for (Fault &it : s)
    for (size_t k = 0; k < NumFaultKinds; ++k)
      if (toString(static_cast<FaultKind>(k)) == FLAGS_only)
        it.Kind = static_cast<FaultKind>(k);
  return s;
}

FaultRunResult runJob(const Job &job) {
  FaultRunOptions o;
  o.Programs = FLAGS_programs;
  o.Examples = FLAGS_examples;
  o.Folder = fmt::format("{}/{}-{}", FLAGS_folder, job.Example.Name, job.Seed);
  o.Example = job.Example;
  o.Seed = job.Seed;
  o.SettingOverrides = parseSettingOverrides();
  o.Length = Milliseconds(FLAGS_length_ms);
  if (!FLAGS_only.empty())
    o.Schedule = scheduleOfKind(job.Seed, o.Length);
  return runFaults(o);
}

void add(Totals &t, const FaultRunResult &r) {
  ++t.Runs;
  t.Incomplete += r.Failure.empty() ? 0 : 1;
  t.Events += r.Events;
  for (const Fault &it : r.Schedule)
    ++t.FaultsInjected[std::string(toString(it.Kind))];
  for (const Violation &it : r.Violations)
    ++t.Violations[std::string(toString(it.Violated))];
  for (Milliseconds it : r.Takeovers)
    t.Takeovers.push_back(it.count());
  for (Milliseconds it : r.ApplyTimes)
    t.ApplyTimes.push_back(it.count());
  WorkloadCounts &c = t.Counts;
  c.Completions += r.Counts.Completions;
  c.Complete += r.Counts.Complete;
  c.Rejected += r.Counts.Rejected;
  c.Late += r.Counts.Late;
  c.Resumes += r.Counts.Resumes;
  c.OnceRequests += r.Counts.OnceRequests;
  c.OnceExecuted += r.Counts.OnceExecuted;
  c.OnceUnknown += r.Counts.OnceUnknown;
  c.Edits += r.Counts.Edits;
  c.Conflicts += r.Counts.Conflicts;
}

int64_t quantile(std::vector<int64_t> v, double q) {
  if (v.empty())
    return 0;
  std::sort(v.begin(), v.end());
  return v[static_cast<size_t>(q * static_cast<double>(v.size() - 1))];
}

std::string formatReport(const Totals &t) {
  std::string out = fmt::format(
      "runs {} (incomplete {}), events {}\n"
      "completions {}: complete {}, rejected {}, late {}; resumes {}\n"
      "at-most-once requests {}: executed {}, unknown {}; edits {}, "
      "conflicts {}\n"
      "takeover ms: n {}, median {}, max {}\n"
      "apply ms: n {}, median {}, 99th {}, max {}\n",
      t.Runs, t.Incomplete, t.Events, t.Counts.Completions, t.Counts.Complete,
      t.Counts.Rejected, t.Counts.Late, t.Counts.Resumes, t.Counts.OnceRequests,
      t.Counts.OnceExecuted, t.Counts.OnceUnknown, t.Counts.Edits,
      t.Counts.Conflicts, t.Takeovers.size(), quantile(t.Takeovers, 0.5),
      quantile(t.Takeovers, 1), t.ApplyTimes.size(),
      quantile(t.ApplyTimes, 0.5), quantile(t.ApplyTimes, 0.99),
      quantile(t.ApplyTimes, 1));
  out += "faults:";
  for (const auto &[name, n] : t.FaultsInjected)
    out += fmt::format(" {} {}", name, n);
  out += "\ninvariant                violations\n";
  for (Invariant it : allInvariants()) {
    std::string name(toString(it));
    auto found = t.Violations.find(name);
    out += fmt::format("{:24} {}\n", name,
                       found == t.Violations.end() ? 0 : found->second);
  }
  return out;
}

std::string toJson(const Totals &t) {
  json::object faults;
  for (const auto &[name, n] : t.FaultsInjected)
    faults[name] = n;
  json::object violations;
  for (const auto &[name, n] : t.Violations)
    violations[name] = n;
  return json::serialize(
      json::object{{"runs", t.Runs},
                   {"not_made", t.Incomplete},
                   {"answers", t.Counts.Completions},
                   {"whole", t.Counts.Complete},
                   {"filings", t.Counts.OnceRequests},
                   {"filed", t.Counts.OnceExecuted},
                   {"takeover_ms_most", quantile(t.Takeovers, 1)},
                   {"in_force_ms_99", quantile(t.ApplyTimes, 0.99)},
                   {"faults", std::move(faults)},
                   {"violations", std::move(violations)}});
}

} // namespace

int main(int argc, char **argv) {
  gflags::SetUsageMessage(
      "Runs fault schedules and checks the recorded histories.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  log::start({.DefaultLevel = log::Level::Error, .Process = "faults"});
  std::vector<Job> jobs = makeJobs();
  std::atomic<size_t> next{0};
  std::mutex mutex;
  Totals totals;
  auto work = [&] {
    for (size_t i = next++; i < jobs.size(); i = next++) {
      FaultRunResult r = runJob(jobs[i]);
      std::lock_guard lock(mutex);
      add(totals, r);
      std::cout << jobs[i].Example.Name << " seed " << jobs[i].Seed << ": "
                << describe(r.Schedule) << ": "
                << (r.Failure.empty() ? "" : "INCOMPLETE " + r.Failure)
                << r.Violations.size() << " violations" << std::endl;
      for (const Violation &it : r.Violations)
        std::cout << "  " << toString(it.Violated) << ": " << it.Message
                  << "\n";
    }
  };
  std::vector<std::thread> threads;
  threads.reserve(static_cast<size_t>(FLAGS_parallel));
  for (int i = 0; i < FLAGS_parallel; ++i)
    threads.emplace_back(work);
  for (std::thread &it : threads)
    it.join();
  std::cout << formatReport(totals);
  if (!FLAGS_out.empty())
    std::ofstream(FLAGS_out) << toJson(totals);
  bool clean = totals.Violations.empty() && totals.Incomplete == 0;
  return clean ? 0 : 1;
}
