#include "Sardineford/Common/Log.h"
#include "StandIns/Service/Service.h"

#include <gflags/gflags.h>

DEFINE_string(name, "service-0", "name of the service");
DEFINE_string(listen, "127.0.0.1:9200", "address to listen on");
DEFINE_int32(work_ms, 20, "service time of a call, ms");
DEFINE_string(history, "", "file to append the history to");

using namespace sardineford;

int main(int argc, char **argv) {
  gflags::SetUsageMessage("Stand-in for a plain service.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  log::start({.DefaultLevel = log::Level::Warning, .Process = FLAGS_name});
  IoContext io(1);
  timeline::Recorder recorder({.Process = FLAGS_name});
  if (!FLAGS_history.empty())
    recorder.openHistory(FLAGS_history);
  recorder.record({.Kind = timeline::EventKind::ProcessStarted});
  standins::Service service(io,
                            {.Name = FLAGS_name,
                             .Listen = http::parseEndpoint(FLAGS_listen),
                             .WorkTime = Milliseconds(FLAGS_work_ms)},
                            recorder);
  service.start();
  io.run();
  return 0;
}
