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
constexpr Milliseconds Calm{1'500};

/// Times of the product's settings, scaled down like the engines.
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
  d.FailureDomains = o.Where.FailureDomains;
  d.Entries = 3;
  d.Controllers = 3;
  d.Engines = {{o.Where.Pool, 4}};
  d.Services = {{o.Where.Service, 2}};
  d.EnginesCheckFencing = o.Where.ChecksFencing;
  d.TimeScale = TimeScale;
  d.ReportLag = Milliseconds(20);
  d.ListLag = Milliseconds(50);
  d.Relays = true;
  d.Settings = scaledSettings();
  for (const auto &[key, value] : o.Off)
    d.Settings[key] = value;
  return d;
}

WorkloadOptions workloadOptions(const FaultRunOptions &o) {
  WorkloadOptions w;
  w.Seed = o.Seed;
  w.Model = o.Where.Model;
  w.Workspace = o.Where.Workspace;
  w.Pool = o.Where.Pool;
  w.Service = o.Where.Service;
  w.OncePath = o.Where.OncePath;
  return w;
}

/// Times from the kill of a pool's holder to the next lease of that pool.
std::vector<Milliseconds> findTakeovers(const History &h,
                                        const std::string &pool) {
  std::vector<Milliseconds> out;
  std::string holder;
  int64_t killed = 0;
  for (const HistoryEvent &e : h) {
    if (e.is(EventKind::LeaseTaken) && e.Pool == pool) {
      if (killed != 0)
        out.emplace_back((e.AtUs - killed) / 1000);
      killed = 0;
      holder = e.Process;
    }
    if (e.is(EventKind::FaultBrought) && e.Detail == "kill-holder begin" &&
        e.Engine == holder)
      killed = e.AtUs;
  }
  return out;
}

/// Times until every process that ever applied a generation applied it.
std::vector<Milliseconds> findInForce(const History &h) {
  std::map<uint64_t, int64_t> published;
  std::map<uint64_t, int64_t> last;
  for (const HistoryEvent &e : h) {
    if (e.is(EventKind::GenerationPublished))
      published[e.Generation] = e.AtUs;
    if (e.is(EventKind::GenerationApplied))
      last[e.Generation] = e.AtUs;
  }
  std::vector<Milliseconds> out;
  for (const auto &[generation, at] : published)
    if (last.contains(generation) && last[generation] >= at)
      out.emplace_back((last[generation] - at) / 1000);
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
      options.Examples + "/" + options.Where.Name + "/objects.json",
      options.Folder + "/objects.json", TimeScale,
      {{"role_policy", "\"fixed\""},
       {"initial_prefill", "1"},
       {"checks_fencing", options.Where.ChecksFencing ? "true" : "false"}});
  try {
    Deployment d(deploymentOptions(options));
    d.start();
    timeline::Recorder recorder({"faults", "faults", ""});
    recorder.openHistory(d.options().Folder + "/faults.history");
    Workload w(d, workloadOptions(options));
    w.start();
    std::this_thread::sleep_for(WarmUp);
    injectFaults(d, out.Schedule, options.Where.Pool, recorder);
    std::this_thread::sleep_for(Calm);
    out.Counts = w.stop();
    d.stop();
    History h = readHistories(d.options().Folder);
    out.Events = h.size();
    out.Violations = checkAll(h);
    out.Takeovers = findTakeovers(h, options.Where.Pool);
    out.InForce = findInForce(h);
  } catch (const std::exception &e) {
    out.Failure = e.what();
  }
  return out;
}

} // namespace sardineford::standins
