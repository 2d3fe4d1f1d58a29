#include "StandIns/Proof/FaultRun.h"

#include "StandIns/Deployment/Objects.h"

#include <algorithm>
#include <filesystem>
#include <thread>

namespace sardineford::standins {

using timeline::EventKind;

namespace {

constexpr double TimeScale = 10;
constexpr Milliseconds WarmUp{500};
constexpr Milliseconds CoolDown{1'500};

/// Returns settings with the timings of the daemons scaled down like those of
/// the engines.
std::map<std::string, std::string> scaledSettings() {
  return {{"plan.lease_ms", "600"},
          {"plan.renew_ms", "200"},
          {"plan.margin_ms", "60"},
          {"plan.observe_ms", "80"},
          {"plan.poll_ms", "40"},
          {"plan.poll_timeout_ms", "300"},
          {"plan.drain_mark_ms", "100"},
          {"plan.step_down_after_ms", "1000"},
          {"plan.drain_limit_ms", "3000"},
          {"plan.order_timeout_ms", "3000"},
          {"plan.gone_quarantine_ms", "3000"},
          {"roles.decide_ms", "100"},
          {"exchange.interval_ms", "60"},
          {"platform.list_interval_ms", "200"},
          {"platform.timeout_ms", "400"},
          {"platform.watch_ms", "1000"},
          {"entry.view_interval_ms", "50"},
          {"entry.report_lag_ms", "20"},
          {"entry.first_token_timeout_ms", "800"},
          {"entry.between_tokens_timeout_ms", "500"},
          {"entry.head_timeout_ms", "400"},
          {"entry.once_write_timeout_ms", "800"},
          {"shutdown.balancer_wait_ms", "300"},
          {"shutdown.drain_limit_ms", "20000"},
          {"log.level", "\"debug\""}};
}

DeploymentOptions deploymentOptions(const FaultRunOptions &o) {
  DeploymentOptions d;
  d.Programs = o.Programs;
  d.Folder = o.Folder + "/run";
  d.ObjectsFile = o.Folder + "/objects.json";
  d.FailureDomains = o.Example.FailureDomains;
  d.Entries = 3;
  d.Controllers = 3;
  d.Engines = {{o.Example.Pool, 4}};
  d.Services = {{o.Example.Service, 2}};
  d.EnginesCheckFencing = o.Example.ChecksFencing;
  d.TimeScale = TimeScale;
  d.ReportLag = Milliseconds(20);
  d.ListLag = Milliseconds(50);
  d.UseRelays = true;
  d.Settings = scaledSettings();
  for (const auto &[key, value] : o.SettingOverrides)
    d.Settings[key] = value;
  return d;
}

WorkloadOptions workloadOptions(const FaultRunOptions &o) {
  WorkloadOptions w;
  w.Seed = o.Seed;
  w.Model = o.Example.Model;
  w.Workspace = o.Example.Workspace;
  w.Pool = o.Example.Pool;
  w.Service = o.Example.Service;
  w.OncePath = o.Example.OncePath;
  return w;
}

/// Returns the times from each kill of a pool's lease holder to the pool's next
/// lease.
std::vector<Milliseconds> findTakeovers(const History &h,
                                        const std::string &pool) {
  std::vector<Milliseconds> out;
  std::string holder;
  int64_t killedUs = 0;
  for (const HistoryEvent &e : h) {
    if (e.is(EventKind::LeaseTaken) && e.Pool == pool) {
      if (killedUs != 0)
        out.emplace_back((e.AtUs - killedUs) / 1000);
      killedUs = 0;
      holder = e.Process;
    }
    if (e.is(EventKind::FaultBrought) && e.Detail == "kill-holder begin" &&
        e.Engine == holder)
      killedUs = e.AtUs;
  }
  return out;
}

/// Returns, for each generation, the time from its publication to the last
/// process that applied it.
std::vector<Milliseconds> findApplyTimes(const History &h) {
  std::map<uint64_t, int64_t> published;
  std::map<uint64_t, int64_t> lastApplied;
  for (const HistoryEvent &e : h) {
    if (e.is(EventKind::GenerationPublished))
      published[e.Generation] = e.AtUs;
    if (e.is(EventKind::GenerationApplied))
      lastApplied[e.Generation] = e.AtUs;
  }
  std::vector<Milliseconds> out;
  for (const auto &[generation, at] : published)
    if (lastApplied.contains(generation) && lastApplied[generation] >= at)
      out.emplace_back((lastApplied[generation] - at) / 1000);
  return out;
}

} // namespace

ExampleDeployment nilebridge() {
  return {"nilebridge",
          "scribe-llm",
          "scribe",
          "filing-api",
          "/filings",
          "notary-cairo",
          {"eg-north-1", "eg-north-2", "eg-north-3"},
          true};
}

ExampleDeployment trinacria() {
  return {"trinacria",
          "concierge-llm",
          "concierge",
          "ticket-desk",
          "/tickets",
          "guests",
          {"catania", "palermo", "siracusa"},
          false};
}

FaultRunResult runFaults(const FaultRunOptions &options) {
  FaultRunResult out;
  out.Schedule = options.Schedule.empty()
                     ? makeSchedule(options.Seed, options.Length)
                     : options.Schedule;
  std::filesystem::create_directories(options.Folder);
  writeScaledObjects(
      options.Examples + "/" + options.Example.Name + "/objects.json",
      options.Folder + "/objects.json", TimeScale,
      {{"role_policy", "\"fixed\""},
       {"initial_prefill", "1"},
       {"checks_fencing", options.Example.ChecksFencing ? "true" : "false"}});
  try {
    Deployment d(deploymentOptions(options));
    d.start();
    timeline::Recorder recorder({"faults", "faults", ""});
    recorder.openHistory(d.options().Folder + "/faults.history");
    Workload w(d, workloadOptions(options));
    w.start();
    std::this_thread::sleep_for(WarmUp);
    injectFaults(d, out.Schedule, options.Example.Pool, recorder);
    std::this_thread::sleep_for(CoolDown);
    out.Counts = w.stop();
    d.stop();
    History h = readHistories(d.options().Folder);
    out.Events = h.size();
    out.Violations = checkAll(h);
    out.Takeovers = findTakeovers(h, options.Example.Pool);
    out.ApplyTimes = findApplyTimes(h);
  } catch (const std::exception &e) {
    out.Failure = e.what();
  }
  return out;
}

} // namespace sardineford::standins
