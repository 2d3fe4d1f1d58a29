#include "Gateway/ReturnCheck.h"

#include "Sardineford/Common/Log.h"
#include "Sardineford/Store/Write.h"

namespace sardineford::gateway {

namespace {

using log::Category;

/// Each question takes a slot of the server, so they become seldom.
constexpr Milliseconds InitialCheckDelay{500};
constexpr Milliseconds MaxCheckDelay{8'000};
constexpr Milliseconds CheckTimeout{500};

Awaitable<bool> isHealthy(SharedState &s, const fleet::ServerEntry &entry) {
  const auto &services = s.Watch.routes()->config().Services;
  auto spec = services.find(entry.Service);
  if (spec == services.end())
    co_return false;
  http::Request request =
      s.Protocol.makeHealthCheckRequest(spec->second.HealthPath, entry.Id);
  http::CallOptions options;
  options.Timeout = CheckTimeout;
  options.FreshConnection = true;
  try {
    http::Response r =
        co_await s.Client.call(entry.Address, std::move(request), options);
    ResponseHead head = s.Protocol.decodeHead(r);
    co_return r.Status == 200 && head.RespondingServer == entry.Id;
  } catch (const http::TransportError &e) {
    log::debug(Category::Fleet, "check of {}: {}", entry.Id, e.what());
  }
  co_return false;
}

} // namespace

Awaitable<void> checkReturnedServer(SharedState &s, fleet::ServerEntry entry) {
  store::Backoff backoff(InitialCheckDelay, MaxCheckDelay);
  bool healthy = false;
  while (!healthy && s.Servers.isReturning(entry)) {
    healthy = s.Watch.routes() && co_await isHealthy(s, entry);
    if (!healthy)
      co_await sleepFor(backoff.next());
  }
  bool readmitted = healthy && s.Servers.readmit(entry);
  log::event(Category::Fleet, log::Level::Info, "server_return",
             {{"server", entry.Id},
              {"started_ms", entry.StartedMs},
              {"sound", healthy},
              {"outcome", readmitted ? "taken up again" : "left out"}});
}

} // namespace sardineford::gateway
