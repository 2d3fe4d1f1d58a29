#include "Gateway/ReturnCheck.h"

#include "Sardineford/Common/Log.h"
#include "Sardineford/Store/Write.h"

namespace sardineford::gateway {

namespace {

using log::Category;

/// Each question takes a slot of the server, so they become seldom.
constexpr Milliseconds FirstPause{500};
constexpr Milliseconds LongestPause{8'000};
constexpr Milliseconds CheckTimeout{500};

Awaitable<bool> isSound(SharedState &s, const fleet::ServerEntry &entry) {
  const auto &services = s.Watch.routes()->config().Services;
  auto spec = services.find(entry.Service);
  if (spec == services.end())
    co_return false;
  http::Request ask =
      s.Protocol.makeHealthCheckRequest(spec->second.HealthPath, entry.Id);
  http::CallOptions options;
  options.Timeout = CheckTimeout;
  options.FreshConnection = true;
  try {
    http::Response r =
        co_await s.Client.call(entry.Address, std::move(ask), options);
    ResponseHead head = s.Protocol.decodeHead(r);
    co_return r.Status == 200 && head.RespondingServer == entry.Id;
  } catch (const http::TransportError &e) {
    log::debug(Category::Fleet, "check of {}: {}", entry.Id, e.what());
  }
  co_return false;
}

} // namespace

Awaitable<void> checkReturn(SharedState &s, fleet::ServerEntry entry) {
  store::Backoff pause(FirstPause, LongestPause);
  bool sound = false;
  while (!sound && s.Servers.isReturning(entry)) {
    sound = s.Watch.routes() && co_await isSound(s, entry);
    if (!sound)
      co_await sleepFor(pause.next());
  }
  bool admitted = sound && s.Servers.readmit(entry);
  log::event(Category::Fleet, log::Level::Info, "server_return",
             {{"server", entry.Id},
              {"started_ms", entry.StartedMs},
              {"sound", sound},
              {"outcome", admitted ? "taken up again" : "left out"}});
}

} // namespace sardineford::gateway
