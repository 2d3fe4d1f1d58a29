#include "Sardineford/Common/Log.h"
#include "StandIns/Relay/Relay.h"

#include <gflags/gflags.h>

DEFINE_string(listen, "127.0.0.1:9300", "address to listen on");
DEFINE_string(to, "127.0.0.1:9000", "address to forward bytes to");
DEFINE_string(admin, "127.0.0.1:9301", "address of the admin interface");

using namespace sardineford;

int main(int argc, char **argv) {
  gflags::SetUsageMessage("Stand-in for a network link.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  log::start({.DefaultLevel = log::Level::Warning, .Process = "relay"});
  IoContext io(1);
  standins::Relay relay(io, http::parseEndpoint(FLAGS_listen),
                        http::parseEndpoint(FLAGS_to),
                        http::parseEndpoint(FLAGS_admin));
  relay.start();
  io.run();
  return 0;
}
