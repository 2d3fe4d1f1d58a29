#include "Sardineford/Common/Log.h"
#include "StandIns/Engine/Engine.h"

#include <gflags/gflags.h>

DEFINE_string(name, "engine-0", "name of the engine");
DEFINE_string(listen, "127.0.0.1:9000", "address to listen on");
DEFINE_string(role, "mixed", "role at start: prefill, decode or mixed");
DEFINE_bool(check_fencing, true, "reject orders with a stale fencing number");
DEFINE_double(time_scale, 1, "speed-up over real time");
DEFINE_int32(report_lag_ms, 200, "age of the load in a report, ms");
DEFINE_int32(role_change_ms, 4000, "time of a role change at scale 1, ms");
DEFINE_string(history, "", "file to append the history to");

using namespace sardineford;

int main(int argc, char **argv) {
  gflags::SetUsageMessage("Stand-in for a model engine.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  log::start({.DefaultLevel = log::Level::Warning, .Process = FLAGS_name});
  IoContext io(1);
  timeline::Recorder recorder({.Process = FLAGS_name});
  if (!FLAGS_history.empty())
    recorder.openHistory(FLAGS_history);
  standins::EngineOptions options;
  options.Name = FLAGS_name;
  options.Listen = http::parseEndpoint(FLAGS_listen);
  options.InitialRole = standins::parseEngineRole(FLAGS_role);
  options.CheckFencing = FLAGS_check_fencing;
  options.TimeScale = FLAGS_time_scale;
  options.ReportLag = Milliseconds(FLAGS_report_lag_ms);
  options.RoleChangeTime = Milliseconds(FLAGS_role_change_ms);
  standins::Engine engine(io, options, recorder);
  engine.start();
  io.run();
  return 0;
}
