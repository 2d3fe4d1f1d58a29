#include "Sardineford/Common/Log.h"
#include "StandIns/Platform/PlatformStore.h"

#include <gflags/gflags.h>

DEFINE_string(listen, "127.0.0.1:9400", "address to listen on");
DEFINE_int32(entry_life_ms, 900,
             "time without heartbeat after which a server's entry expires, ms");

using namespace sardineford;

int main(int argc, char **argv) {
  gflags::SetUsageMessage("Stand-in for the platform's metadata store.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  log::start({.DefaultLevel = log::Level::Warning, .Process = "store"});
  IoContext io(1);
  standins::PlatformStore store(io, http::parseEndpoint(FLAGS_listen),
                                Milliseconds(FLAGS_entry_life_ms));
  store.start();
  io.run();
  return 0;
}
