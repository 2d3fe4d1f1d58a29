#include "Sardineford/Common/Log.h"
#include "Sardineford/Control/Edits.h"
#include "Sardineford/Http/Client.h"
#include "Sardineford/Store/HttpObjectStore.h"
#include "StandIns/Bench/ProcessUsage.h"
#include "StandIns/Deployment/Deployment.h"

#include <boost/json.hpp>
#include <gflags/gflags.h>
#include <spdlog/fmt/fmt.h>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <thread>

DEFINE_string(programs, ".", "folder with the built programs");
DEFINE_string(folder, "/tmp/sardineford-control",
              "folder for logs and settings");
DEFINE_int32(seconds, 6, "duration of each measurement, s");
DEFINE_string(out, "", "file for the result, JSON");
DEFINE_string(only, "",
              "run only this series: instances, engines, pools, "
              "workspaces or changes");

using namespace sardineford;
using namespace sardineford::standins;
namespace json = boost::json;

namespace {

/// Setup of the measured system. A series varies one of the parameters.
struct Setup {
  int Instances = 3;
  int Engines = 12;
  int Pools = 1;
  int Workspaces = 10;
  int ChangesPerMinute = 0;
};

/// Resources that one process uses during a measurement.
struct ResourceUse {
  double CorePercent = 0;
  double Megabytes = 0;
  double KilobytesPerSecond = 0;
  double StoreCallsPerSecond = 0;
};

/// Result of one measurement.
struct Measurement {
  Setup Parameters;
  /// Averages over the processes of a role.
  ResourceUse Entry;
  ResourceUse Controller;
  /// Maximum of each resource over all processes.
  ResourceUse Max;
  /// Sum over all processes.
  double StoreCallsPerSecond = 0;
};

std::string poolName(int i) { return fmt::format("pool{}", i); }

std::string makeObjects(const Setup &s) {
  json::array all;
  auto add = [&](const char *kind, const std::string &name, json::object spec) {
    all.push_back(json::object{
        {"kind", kind}, {"name", name}, {"spec", std::move(spec)}});
  };
  add("Version", "v", {{"weights", "w"}});
  for (int i = 0; i < s.Pools; ++i) {
    add("EnginePool", poolName(i), {{"engines", 4}, {"role_policy", "fixed"}});
    add("Model", fmt::format("m{}", i),
        {{"version", "v"}, {"pool", poolName(i)}});
  }
  for (int i = 0; i < s.Workspaces; ++i)
    add("Workspace", fmt::format("workspace-{:06}", i),
        {{"models", json::array{"m0"}}, {"share", 0.00001}});
  return json::serialize(all);
}

DeploymentOptions makeDeployment(const Setup &s) {
  DeploymentOptions d;
  d.Programs = FLAGS_programs;
  d.Folder = FLAGS_folder + "/run";
  d.ObjectsFile = FLAGS_folder + "/objects.json";
  d.Entries = s.Instances;
  d.Controllers = s.Instances;
  for (int i = 0; i < s.Pools; ++i)
    d.Engines.push_back({poolName(i), s.Engines / s.Pools});
  d.WriteHistories = false;
  d.Settings = {{"log.level", "\"error\""},
                {"shutdown.balancer_wait_ms", "50"}};
  return d;
}

/// Returns the number of store calls of a process, without the failed ones.
double storeCalls(const std::map<std::string, double> &m) {
  double n = 0;
  for (const auto &[name, value] : m)
    if (name.starts_with("sardineford_store_calls_total") &&
        name.find("failed") == std::string::npos)
      n += value;
  return n;
}

double controlBytes(std::map<std::string, double> &m) {
  return m["sardineford_control_sent_bytes_total"] +
         m["sardineford_control_received_bytes_total"];
}

/// Resource use and metrics of all processes at one time.
struct Snapshot {
  std::map<std::string, ProcessUsage> Figures;
  std::map<std::string, std::map<std::string, double>> Metrics;
};

Snapshot takeSnapshot(Deployment &d, const std::vector<std::string> &names) {
  Snapshot s;
  for (const std::string &it : names) {
    s.Figures[it] = readProcessUsage(d.process(it).id());
    s.Metrics[it] = readMetrics(d.httpEndpoint(it));
  }
  return s;
}

ResourceUse resourceUse(const std::string &name, Snapshot &before,
                        Snapshot &after, double seconds) {
  ResourceUse c;
  c.CorePercent = (after.Figures[name].ProcessorSeconds -
                   before.Figures[name].ProcessorSeconds) /
                  seconds * 100;
  c.Megabytes = after.Figures[name].ResidentMegabytes;
  c.KilobytesPerSecond =
      (controlBytes(after.Metrics[name]) - controlBytes(before.Metrics[name])) /
      seconds / 1000;
  c.StoreCallsPerSecond =
      (storeCalls(after.Metrics[name]) - storeCalls(before.Metrics[name])) /
      seconds;
  return c;
}

void addTo(ResourceUse &sum, const ResourceUse &c, double weight) {
  sum.CorePercent += c.CorePercent * weight;
  sum.Megabytes += c.Megabytes * weight;
  sum.KilobytesPerSecond += c.KilobytesPerSecond * weight;
  sum.StoreCallsPerSecond += c.StoreCallsPerSecond * weight;
}

void updateMax(ResourceUse &max, const ResourceUse &c) {
  max.CorePercent = std::max(max.CorePercent, c.CorePercent);
  max.Megabytes = std::max(max.Megabytes, c.Megabytes);
  max.KilobytesPerSecond =
      std::max(max.KilobytesPerSecond, c.KilobytesPerSecond);
  max.StoreCallsPerSecond =
      std::max(max.StoreCallsPerSecond, c.StoreCallsPerSecond);
}

/// Edits one workspace at a constant rate for the given time.
void makeChanges(const Deployment &d, int perMinute, double seconds) {
  IoContext io(1);
  http::Client client(io);
  store::HttpObjectStore store(client, d.platform(), Milliseconds(3'000));
  MonoTime end = MonoClock::now() + fromSeconds(seconds);
  spawn(io, "changes", [&]() -> Awaitable<void> {
    for (int n = 0; MonoClock::now() < end; ++n) {
      std::optional<store::Object> o =
          co_await store.get("Workspace", "workspace-000000");
      json::value v = json::parse(o->Value);
      v.as_object()["spec"].as_object()["deadline_ms"] = 10'000 + n;
      std::string text = json::serialize(v);
      co_await store.put(o->Kind, o->Name, text, o->Version);
      co_await sleepFor(fromSeconds(60.0 / perMinute));
    }
  });
  io.run();
}

Measurement measure(const Setup &s) {
  std::filesystem::create_directories(FLAGS_folder);
  std::ofstream(FLAGS_folder + "/objects.json") << makeObjects(s);
  Deployment d(makeDeployment(s));
  d.start();
  std::this_thread::sleep_for(std::chrono::seconds(3));
  std::vector<std::string> entries = d.entries();
  std::vector<std::string> controllers = d.controllers();
  std::vector<std::string> names = entries;
  names.insert(names.end(), controllers.begin(), controllers.end());
  MonoTime start = MonoClock::now();
  Snapshot before = takeSnapshot(d, names);
  if (s.ChangesPerMinute > 0)
    makeChanges(d, s.ChangesPerMinute, FLAGS_seconds);
  else
    std::this_thread::sleep_for(std::chrono::seconds(FLAGS_seconds));
  double seconds = toSeconds(MonoClock::now() - start);
  Snapshot after = takeSnapshot(d, names);
  Measurement p;
  p.Parameters = s;
  for (const std::string &it : names) {
    bool isEntry = it.starts_with("entry");
    ResourceUse c = resourceUse(it, before, after, seconds);
    addTo(isEntry ? p.Entry : p.Controller, c, 1.0 / s.Instances);
    updateMax(p.Max, c);
    p.StoreCallsPerSecond += c.StoreCallsPerSecond;
  }
  d.stop();
  return p;
}

/// Linear least-squares fit.
struct Fit {
  double Base = 0;
  double Slope = 0;
  /// Maximum absolute deviation of a value from the line.
  double Residual = 0;
};

Fit fitLine(const std::vector<double> &x, const std::vector<double> &y) {
  auto n = static_cast<double>(x.size());
  double sx = 0;
  double sy = 0;
  double sxx = 0;
  double sxy = 0;
  for (size_t i = 0; i < x.size(); ++i) {
    sx += x[i];
    sy += y[i];
    sxx += x[i] * x[i];
    sxy += x[i] * y[i];
  }
  Fit f;
  double d = n * sxx - sx * sx;
  f.Slope = d == 0 ? 0 : (n * sxy - sx * sy) / d;
  f.Base = (sy - f.Slope * sx) / n;
  for (size_t i = 0; i < x.size(); ++i)
    f.Residual = std::max(f.Residual, std::abs(y[i] - f.Base - f.Slope * x[i]));
  return f;
}

std::string formatResourceUse(const ResourceUse &c) {
  return fmt::format("{:5.2f}% {:5.1f} MB {:6.2f} KB/s {:5.2f} calls/s",
                     c.CorePercent, c.Megabytes, c.KilobytesPerSecond,
                     c.StoreCallsPerSecond);
}

json::object toJson(const Fit &f) {
  return {{"base", f.Base}, {"slope", f.Slope}, {"residual", f.Residual}};
}

json::object runSeries(const std::string &name, int Setup::*parameter,
                       const std::vector<int> &values) {
  std::vector<double> x;
  std::vector<Measurement> measurements;
  for (int it : values) {
    Setup s;
    s.*parameter = it;
    if (name == "pools")
      s.Engines = 24;
    Measurement p = measure(s);
    std::cout << fmt::format("{:10} {:6}: entry {}; controller {}; max {}; "
                             "store {:.1f} calls/s",
                             name, it, formatResourceUse(p.Entry),
                             formatResourceUse(p.Controller),
                             formatResourceUse(p.Max), p.StoreCallsPerSecond)
              << std::endl;
    x.push_back(it);
    measurements.push_back(p);
  }
  json::object out;
  auto fit = [&](const char *label, auto read) {
    std::vector<double> y;
    y.reserve(measurements.size());
    for (const Measurement &it : measurements)
      y.push_back(read(it));
    Fit f = fitLine(x, y);
    std::cout << fmt::format("  {:28} {:9.3f} + {:.6f} x (max deviation "
                             "{:.3f})\n",
                             label, f.Base, f.Slope, f.Residual);
    out[label] = toJson(f);
  };
  fit("entry core percent",
      [](const Measurement &p) { return p.Entry.CorePercent; });
  fit("entry MB", [](const Measurement &p) { return p.Entry.Megabytes; });
  fit("entry KB/s",
      [](const Measurement &p) { return p.Entry.KilobytesPerSecond; });
  fit("controller core percent",
      [](const Measurement &p) { return p.Controller.CorePercent; });
  fit("controller MB",
      [](const Measurement &p) { return p.Controller.Megabytes; });
  fit("controller KB/s",
      [](const Measurement &p) { return p.Controller.KilobytesPerSecond; });
  fit("most core percent",
      [](const Measurement &p) { return p.Max.CorePercent; });
  fit("most KB/s",
      [](const Measurement &p) { return p.Max.KilobytesPerSecond; });
  fit("store calls/s",
      [](const Measurement &p) { return p.StoreCallsPerSecond; });
  return out;
}

bool isSelected(const std::string &name) {
  return FLAGS_only.empty() || FLAGS_only == name;
}

} // namespace

int main(int argc, char **argv) {
  gflags::SetUsageMessage("Measures the resource use of the control plane for "
                          "growing deployments.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  log::start({.DefaultLevel = log::Level::Error, .Process = "control"});
  json::object result;
  if (isSelected("instances"))
    result["instances"] =
        runSeries("instances", &Setup::Instances, {3, 6, 12, 24});
  if (isSelected("engines"))
    result["engines"] = runSeries("engines", &Setup::Engines, {12, 48, 120});
  if (isSelected("pools"))
    result["pools"] = runSeries("pools", &Setup::Pools, {1, 4, 8});
  if (isSelected("workspaces"))
    result["workspaces"] =
        runSeries("workspaces", &Setup::Workspaces, {100, 8'000, 31'000});
  if (isSelected("changes"))
    result["changes"] =
        runSeries("changes", &Setup::ChangesPerMinute, {6, 60, 240});
  if (!FLAGS_out.empty())
    std::ofstream(FLAGS_out) << json::serialize(result);
  return 0;
}
