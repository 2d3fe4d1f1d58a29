#include "Gateway/Gateway.h"
#include "Node/Daemon.h"
#include "Node/NodeSettings.h"
#include "Sardineford/Http/Client.h"
#include "platform/FleetAdapter.h"
#include "platform/ObjectStoreClient.h"
#include "platform/TrafficAdapter.h"

using namespace sardineford;

int main(int argc, char **argv) {
  return node::runDaemon(
      argc, argv,
      "Routes requests to models and services on the users' platform.",
      [](IoContext &io, node::SettingsFile &settings,
         std::function<void()> run) {
        const settings::Settings &s = settings.values();
        http::Client storeConnections(io);
        platform::ObjectStoreClient store(
            storeConnections, http::parseEndpoint(s.get(node::Platform)));
        platform::FleetAdapter fleet;
        platform::TrafficAdapter traffic;
        gateway::Gateway gateway(io, s, store, fleet, traffic);
        settings.onChange([&] { gateway.applySettings(); });
        gateway.start();
        run();
      });
}
