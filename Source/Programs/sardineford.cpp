#include "Duties/DutySettings.h"
#include "Gateway/Gateway.h"
#include "Node/Daemon.h"
#include "Node/NodeSettings.h"
#include "Sardineford/Http/Client.h"
#include "platform/DutyClient.h"
#include "platform/FleetAdapter.h"
#include "platform/ObjectStoreClient.h"
#include "platform/TrafficAdapter.h"

using namespace sardineford;

namespace {

/// Starts the duties if the settings name any that this build knows.
std::unique_ptr<platform::DutyClient> makeDuties(const settings::Settings &s,
                                                 http::Client &client) {
  std::string names = "," + s.get(duties::DutyNames) + ",";
  bool hasUsage = names.find(",usage_report,") != std::string::npos;
  if (s.get(duties::DutyEndpoint).empty() || !hasUsage)
    return nullptr;
  return std::make_unique<platform::DutyClient>(
      client, http::parseEndpoint(s.get(duties::DutyEndpoint)));
}

} // namespace

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
        auto duties = makeDuties(s, storeConnections);
        if (duties)
          gateway.setDuties(store, *duties);
        settings.onChange([&] { gateway.applySettings(); });
        gateway.start();
        run();
      });
}
