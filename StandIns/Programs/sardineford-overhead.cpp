#include "Load/Caller.h"
#include "Sardineford/Common/Log.h"
#include "StandIns/Bench/ProcessUsage.h"
#include "StandIns/Deployment/Deployment.h"
#include "StandIns/Deployment/Objects.h"

#include <boost/json.hpp>
#include <gflags/gflags.h>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <thread>

DEFINE_string(programs, ".", "folder with the built programs");
DEFINE_string(examples, "examples", "folder with the examples");
DEFINE_string(folder, "/tmp/sardineford-overhead",
              "folder for logs and settings");
DEFINE_int32(calls, 2000, "number of calls of each latency measurement");
DEFINE_string(out, "", "file for the result, JSON");

using namespace sardineford;
using namespace sardineford::standins;
namespace json = boost::json;

namespace {

/// Makes the time in the stand-in engines negligible, so that the entry is
/// measured.
constexpr double TimeScale = 1'000;
constexpr int OpenStreams = 1'000;
constexpr int ParallelCallers = 16;
constexpr int StreamTokens = 400;
constexpr Milliseconds CallTimeout{5'000};

struct Latency {
  double Median = 0;
  double Percentile99 = 0;
};

Latency summarizeLatencies(std::vector<double> us) {
  std::sort(us.begin(), us.end());
  return {us[us.size() / 2], us[us.size() * 99 / 100]};
}

/// Sends calls sequentially and records the latency of each.
Awaitable<void> callSequentially(http::Client &client, http::Endpoint to,
                                 std::string target, std::vector<double> &us) {
  for (int n = 0; n < FLAGS_calls; ++n) {
    http::Request request;
    request.Target = target;
    request.Fields.add("X-Workspace", "notary-cairo");
    MonoTime start = MonoClock::now();
    co_await client.call(to, std::move(request));
    us.push_back(toSeconds(MonoClock::now() - start) * 1e6);
  }
}

Latency measureLatency(const http::Endpoint &to, const std::string &target) {
  IoContext io(1);
  http::Client client(io);
  std::vector<double> us;
  spawn(io, "calls", [&] { return callSequentially(client, to, target, us); });
  io.run();
  return summarizeLatencies(std::move(us));
}

load::CompletionCall makeCall(const std::string &id, uint64_t tokens) {
  load::CompletionCall c;
  c.RequestId = id;
  c.Workspace = "notary-cairo";
  c.Model = "scribe";
  c.Prompt = "question " + id;
  c.MaxTokens = tokens;
  c.Deadline = Milliseconds(60'000);
  return c;
}

/// Rates of requests or tokens through the entry.
struct Throughput {
  /// Per second of processor time of the entry.
  double PerCoreSecond = 0;
  double PerSecond = 0;
};

Throughput measureThroughput(Deployment &d, int callsEach, uint64_t tokens,
                             bool countTokens) {
  IoContext io(1);
  http::Client client(io);
  http::Endpoint entry = d.httpEndpoint("entry-0");
  uint64_t completed = 0;
  pid_t id = d.process("entry-0").id();
  double processorSecondsBefore = readProcessUsage(id).ProcessorSeconds;
  MonoTime start = MonoClock::now();
  for (int caller = 0; caller < ParallelCallers; ++caller)
    spawn(io, "caller", [&, caller]() -> Awaitable<void> {
      for (int n = 0; n < callsEach; ++n) {
        load::CallResult r = co_await load::callCompletion(
            client, entry, makeCall(fmt::format("{}-{}", caller, n), tokens));
        completed +=
            countTokens ? r.Tokens : r.Outcome == load::CallOutcome::Complete;
      }
    });
  io.run();
  double seconds = toSeconds(MonoClock::now() - start);
  double processorSeconds =
      readProcessUsage(id).ProcessorSeconds - processorSecondsBefore;
  return {static_cast<double>(completed) / processorSeconds,
          static_cast<double>(completed) / seconds};
}

/// Returns the resident memory of the entry in MB with OpenStreams open
/// streams.
double measureOpenStreams(Deployment &d) {
  IoContext io(1);
  http::Client client(io);
  http::Endpoint entry = d.httpEndpoint("entry-0");
  for (const std::string &it : d.engines())
    d.admin(it, R"({"slowdown":100000})");
  for (int n = 0; n < OpenStreams; ++n)
    spawn(io, "stream", [&, n]() -> Awaitable<void> {
      co_await load::callCompletion(
          client, entry, makeCall(fmt::format("open-{}", n), StreamTokens));
    });
  io.run_for(std::chrono::seconds(4));
  return readProcessUsage(d.process("entry-0").id()).ResidentMegabytes;
}

} // namespace

int main(int argc, char **argv) {
  gflags::SetUsageMessage(
      "Measures the overhead of the entry over a direct call.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  log::start({.DefaultLevel = log::Level::Error, .Process = "overhead"});
  std::filesystem::create_directories(FLAGS_folder);
  writeScaledObjects(FLAGS_examples + "/nilebridge/objects.json",
                     FLAGS_folder + "/objects.json", TimeScale,
                     {{"max_batch", "4000"}});
  DeploymentOptions o;
  o.Programs = FLAGS_programs;
  o.Folder = FLAGS_folder + "/run";
  o.ObjectsFile = FLAGS_folder + "/objects.json";
  o.Entries = 1;
  o.Controllers = 1;
  o.Engines = {{"scribe-llm", 4}};
  o.Services = {{"filing-api", 1}};
  o.TimeScale = TimeScale;
  o.WriteHistories = false;
  o.Settings = {{"log.level", "\"error\""},
                {"shutdown.balancer_wait_ms", "50"},
                {"entry.head_timeout_ms", "20000"}};
  Deployment d(o);
  d.start();
  std::this_thread::sleep_for(std::chrono::seconds(1));
  d.admin("filing-api-0", R"({"work_ms":0})");
  Latency direct = measureLatency(d.httpEndpoint("filing-api-0"), "/cases/1");
  Latency through =
      measureLatency(d.httpEndpoint("entry-0"), "/services/filing-api/cases/1");
  Throughput requests = measureThroughput(d, 300, 2, false);
  Throughput tokens = measureThroughput(d, 60, StreamTokens, true);
  double megabytes = measureOpenStreams(d);
  std::cout << fmt::format(
      "direct {:.0f} us median, {:.0f} us 99th\n"
      "through the entry {:.0f} us median, {:.0f} us 99th\n"
      "added {:.3f} ms median, {:.3f} ms 99th\n"
      "short requests per core second {:.0f} (at {:.0f} a second)\n"
      "streamed tokens per core second {:.0f} (at {:.0f} a second)\n"
      "resident with {} open streams {:.1f} MB\n",
      direct.Median, direct.Percentile99, through.Median, through.Percentile99,
      (through.Median - direct.Median) / 1000,
      (through.Percentile99 - direct.Percentile99) / 1000,
      requests.PerCoreSecond, requests.PerSecond, tokens.PerCoreSecond,
      tokens.PerSecond, OpenStreams, megabytes);
  if (!FLAGS_out.empty())
    std::ofstream(FLAGS_out) << json::serialize(json::object{
        {"added_ms_median", (through.Median - direct.Median) / 1000},
        {"added_ms_99", (through.Percentile99 - direct.Percentile99) / 1000},
        {"requests_per_core_second", requests.PerCoreSecond},
        {"tokens_per_core_second", tokens.PerCoreSecond},
        {"resident_mb", megabytes}});
  return 0;
}
