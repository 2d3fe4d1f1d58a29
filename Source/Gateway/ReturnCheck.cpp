#include "Gateway/ReturnCheck.h"

#include "Gateway/HealthCheck.h"
#include "Sardineford/Common/Log.h"
#include "Sardineford/Store/Write.h"

namespace sardineford::gateway {

namespace {

using log::Category;

/// Each check takes up a slot of the server, so the delay between checks
/// increases.
constexpr Milliseconds InitialCheckDelay{500};
constexpr Milliseconds MaxCheckDelay{8'000};

} // namespace

Awaitable<void> checkReturnedServer(SharedState &shared,
                                    fleet::ServerEntry entry) {
  store::Backoff backoff(InitialCheckDelay, MaxCheckDelay);
  bool healthy = false;
  while (!healthy && shared.Servers.awaitsReadmission(entry)) {
    healthy = co_await checkHealth(shared, entry) == HealthCheckResult::Healthy;
    if (!healthy)
      co_await sleepFor(backoff.next());
  }
  bool readmitted = healthy && shared.Servers.readmit(entry);
  log::event(Category::Fleet, log::Level::Info, "server_return",
             {{"server", entry.Id},
              {"started_ms", entry.StartedMs},
              {"sound", healthy},
              {"outcome", readmitted ? "readmitted" : "not readmitted"}});
}

} // namespace sardineford::gateway
