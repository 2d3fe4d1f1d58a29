#include "Gateway/HealthCheck.h"

#include "Gateway/ConnectionLimits.h"
#include "Gateway/ServerChoice.h"
#include "Gateway/State.h"

#include "Sardineford/Common/Log.h"
#include "Sardineford/Gateway/ConnectionReuse.h"
#include "Sardineford/Http/Status.h"

#include <array>

namespace sardineford::gateway {

namespace {

using fleet::ServerPtr;
using log::Category;

constexpr Milliseconds CheckTimeout{500};

} // namespace

std::string_view toString(HealthCheckResult r) {
  constexpr std::array<std::string_view, 5> Names = {
      "healthy", "answered", "refused", "closed", "unknown"};
  return Names[static_cast<size_t>(r)];
}

Awaitable<HealthCheckResult> checkHealth(SharedState &shared,
                                         fleet::ServerEntry entry) {
  if (!shared.Watch.routes() || isClosed(shared, entry))
    co_return HealthCheckResult::Unknown;
  const auto &services = shared.Watch.routes()->config().Services;
  auto spec = services.find(entry.Service);
  if (spec == services.end())
    co_return HealthCheckResult::Unknown;
  http::Request request =
      shared.Protocol.makeHealthCheckRequest(spec->second.HealthPath, entry.Id);
  http::CallOptions options;
  options.Timeout = CheckTimeout;
  options.FreshConnection = true;
  MonoTime start = MonoClock::now();
  try {
    http::Response r =
        co_await callServer(shared, entry.Address, std::move(request), options);
    ResponseHead head = shared.Protocol.decodeHead(r);
    if (!isOfOtherRequest({"", head.RequestId, head.NotExecuted}))
      recordServerNotices(shared, entry, head, start);
    if (head.RespondingServer && *head.RespondingServer != entry.Id)
      co_return HealthCheckResult::Refused;
    co_return r.Status == http::StatusOk &&head.RespondingServer == entry.Id
        ? HealthCheckResult::Healthy
        : HealthCheckResult::Answered;
  } catch (const http::TransportError &e) {
    log::debug(Category::Fleet, "health check of {} failed: {}", entry.Id,
               e.what());
    ServerPtr known = shared.Servers.find(entry.Id);
    if (e.ResetOnNew && known)
      recordResetOnNew(shared, *known);
    if (e.Refused)
      co_return HealthCheckResult::Refused;
    if (e.Malformed)
      co_return HealthCheckResult::Answered;
    co_return e.TimedOut || e.Stage == http::TransportStage::NothingSent
        ? HealthCheckResult::Unknown
        : HealthCheckResult::Closed;
  }
}

} // namespace sardineford::gateway
