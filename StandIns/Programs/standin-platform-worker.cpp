#include "Sardineford/Common/Log.h"
#include "StandIns/Deployment/Deployment.h"
#include "StandIns/Platform/ConnectionCap.h"
#include "StandIns/Platform/PlatformWorker.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gflags/gflags.h>

DEFINE_string(id, "i-1", "id of the backend server");
DEFINE_string(service, "plain", "name of the service");
DEFINE_string(domain, "a", "failure domain");
DEFINE_string(listen, "127.0.0.1:9500", "address to listen on");
DEFINE_string(advertise, "",
              "advertised address; empty for the listen address");
DEFINE_string(store, "127.0.0.1:9400", "address of the platform's store");
DEFINE_string(stage, "",
              "prefill or decode for an engine, empty for a plain service");
DEFINE_string(software_version, "v1", "software version");
DEFINE_int32(slots, 8, "maximum number of concurrent requests");
DEFINE_int32(work_ms, 10, "service time of a plain call, ms");
DEFINE_int32(step_ms, 4, "duration of an engine step, ms");
DEFINE_int32(drain_ms, 1500,
             "time to continue serving after reporting as leaving, ms");
DEFINE_string(crashing_part, "",
              "id of a prompt part that ends the process; empty for none");
DEFINE_string(crashing_path, "",
              "path of requests that end the process; empty for none");
DEFINE_double(limit, -1,
              "limit of requests a second to name; negative for none");
DEFINE_int32(limit_from_ms, 0, "time from the start until the limit, ms");
DEFINE_int32(limit_ms, 0, "time for which the limit is named, ms");
DEFINE_int32(no_heartbeat_from_ms, 0,
             "time from the start until no heartbeats are written, ms");
DEFINE_int32(no_heartbeat_ms, 0, "time without heartbeats, ms");
DEFINE_int32(leaves_after_ms, -1,
             "time from the start after which responses say that the server "
             "leaves, ms; negative for never");
DEFINE_string(retry_after, "",
              "Retry-After of the rejections of all requests; empty for none");
DEFINE_int32(reject_from_ms, 0, "time from the start until these, ms");
DEFINE_int32(reject_ms, 0, "time for which all requests are rejected, ms");
DEFINE_string(load_header, "",
              "value of the load header in each response; empty for none");
DEFINE_int32(shed_every, 0,
             "reject each n-th request or health check as if full; 0 for none");
DEFINE_bool(shed_with_id, true, "rejections have the id of the request");
DEFINE_int32(max_connections, 0,
             "reset connections beyond this number; 0 for no limit");
DEFINE_string(history, "", "file to append the history to");

using namespace sardineford;

int main(int argc, char **argv) {
  gflags::SetUsageMessage("Stand-in for a backend server of the platform.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  log::start({.DefaultLevel = log::Level::Warning, .Process = FLAGS_id});
  IoContext io(1);
  standins::PlatformWorkerOptions o;
  o.Id = FLAGS_id;
  o.Service = FLAGS_service;
  o.FailureDomain = FLAGS_domain;
  o.Listen = http::parseEndpoint(FLAGS_listen);
  o.Advertise =
      FLAGS_advertise.empty() ? o.Listen : http::parseEndpoint(FLAGS_advertise);
  o.Store = http::parseEndpoint(FLAGS_store);
  o.Stage = FLAGS_stage;
  o.Version = FLAGS_software_version;
  o.Slots = static_cast<unsigned>(FLAGS_slots);
  o.WorkTime = Milliseconds(FLAGS_work_ms);
  o.StepTime = Milliseconds(FLAGS_step_ms);
  o.DrainTime = Milliseconds(FLAGS_drain_ms);
  o.CrashingPart = FLAGS_crashing_part;
  o.CrashingPath = FLAGS_crashing_path;
  o.LoadHeader = FLAGS_load_header;
  o.Limit = {FLAGS_limit, Milliseconds(FLAGS_limit_from_ms),
             Milliseconds(FLAGS_limit_ms)};
  o.NoHeartbeatFrom = Milliseconds(FLAGS_no_heartbeat_from_ms);
  o.NoHeartbeatLength = Milliseconds(FLAGS_no_heartbeat_ms);
  o.LeavesAfter = Milliseconds(FLAGS_leaves_after_ms);
  o.Rejects = {FLAGS_retry_after, Milliseconds(FLAGS_reject_from_ms),
               Milliseconds(FLAGS_reject_ms)};
  o.Sheds = {static_cast<unsigned>(FLAGS_shed_every), FLAGS_shed_with_id};
  o.History = FLAGS_history;
  http::Endpoint callers = o.Listen;
  if (FLAGS_max_connections > 0)
    o.Listen = standins::freeEndpoint();
  standins::PlatformWorker worker(io, o);
  worker.start();
  if (FLAGS_max_connections > 0)
    spawn(io, "connection-cap", [&] {
      return standins::capConnections(
          io, callers, o.Listen, static_cast<size_t>(FLAGS_max_connections));
    });
  spawn(io, "stop", [&]() -> Awaitable<void> {
    boost::asio::signal_set signals(io, SIGTERM);
    co_await signals.async_wait(boost::asio::use_awaitable);
    co_await worker.drainAndStop();
  });
  io.run();
  return 0;
}
