#include "Sardineford/Common/Log.h"
#include "StandIns/ObjectApi/ObjectApi.h"

#include <gflags/gflags.h>

DEFINE_string(listen, "127.0.0.1:9100", "address to listen on");
DEFINE_int32(list_lag_ms, 500, "lag of the list of instances, ms");

using namespace sardineford;

int main(int argc, char **argv) {
  gflags::SetUsageMessage("Stand-in for the platform's object API.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  log::start({.DefaultLevel = log::Level::Warning, .Process = "object-api"});
  IoContext io(1);
  standins::ObjectApi api(io, http::parseEndpoint(FLAGS_listen),
                          Milliseconds(FLAGS_list_lag_ms));
  api.start();
  io.run();
  return 0;
}
