#include "Gateway/ReturnCheck.h"

#include "Sardineford/Common/Log.h"
#include "Sardineford/Http/Status.h"
#include "Sardineford/Store/Write.h"

namespace sardineford::gateway {

namespace {

using log::Category;

/// Each check takes up a slot of the server, so the delay between checks
/// increases.
constexpr Milliseconds InitialCheckDelay{500};
constexpr Milliseconds MaxCheckDelay{8'000};
constexpr Milliseconds CheckTimeout{500};

Awaitable<bool> isHealthy(SharedState &shared,
                          const fleet::ServerEntry &entry) {
  const auto &services = shared.Watch.routes()->config().Services;
  auto spec = services.find(entry.Service);
  if (spec == services.end())
    co_return false;
  http::Request request =
      shared.Protocol.makeHealthCheckRequest(spec->second.HealthPath, entry.Id);
  http::CallOptions options;
  options.Timeout = CheckTimeout;
  options.FreshConnection = true;
  try {
    http::Response r =
        co_await shared.Client.call(entry.Address, std::move(request), options);
    ResponseHead head = shared.Protocol.decodeHead(r);
    co_return r.Status == http::StatusOk &&head.RespondingServer == entry.Id;
  } catch (const http::TransportError &e) {
    log::debug(Category::Fleet, "health check of {} failed: {}", entry.Id,
               e.what());
  }
  co_return false;
}

} // namespace

Awaitable<void> checkReturnedServer(SharedState &shared,
                                    fleet::ServerEntry entry) {
  store::Backoff backoff(InitialCheckDelay, MaxCheckDelay);
  bool healthy = false;
  while (!healthy && shared.Servers.awaitsReadmission(entry)) {
    healthy = shared.Watch.routes() && co_await isHealthy(shared, entry);
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
