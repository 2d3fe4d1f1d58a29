#include "Gateway/StateGauges.h"

#include "Gateway/ServerChoice.h"
#include "Sardineford/Common/Log.h"

#include <functional>
#include <map>

namespace sardineford::gateway {

namespace {

/// One sample per second has a negligible cost and is enough to show a busy
/// loop.
constexpr Milliseconds LagInterval{1'000};

/// Servers whose connections have series of their own; the sum of the others is
/// reported as "other".
constexpr size_t MaxConnectionSeries = 50;

using Family = metrics::Metrics::Family;

Family countServers(SharedState &shared) {
  std::map<std::pair<std::string, std::string>, double> counts;
  shared.Servers.forEach([&](const fleet::Server &it) {
    ++counts[{it.Entry.Service,
              std::string(toString(judgeServer(shared, it)))}];
  });
  Family out;
  for (const auto &[key, n] : counts)
    out.push_back({{{"service", key.first}, {"state", key.second}}, n});
  return out;
}

/// Sums a value of all servers by service.
Family sumByService(SharedState &shared,
                    const std::function<double(const fleet::Server &)> &value) {
  std::map<std::string, double> sums;
  shared.Servers.forEach(
      [&](const fleet::Server &it) { sums[it.Entry.Service] += value(it); });
  Family out;
  for (const auto &[service, n] : sums)
    out.push_back({{{"service", service}}, n});
  return out;
}

/// Reports a count of connections of each server whose service limits them so
/// that this process has a part.
Family
connectionsByServer(SharedState &shared,
                    const std::function<size_t(const fleet::Server &)> &count) {
  Family out;
  double others = 0;
  shared.Servers.forEach([&](const fleet::Server &it) {
    if (!it.Connections.Part.Open)
      return;
    auto n = static_cast<double>(count(it));
    if (out.size() < MaxConnectionSeries)
      out.push_back({{{"server", it.Entry.Id}}, n});
    else
      others += n;
  });
  if (out.size() == MaxConnectionSeries)
    out.push_back({{{"server", "other"}}, others});
  return out;
}

Family remainingRetryBudgets(SharedState &shared) {
  Family out;
  for (auto &[service, it] : shared.Services)
    out.push_back(
        {{{"service", service}}, it.RetryBudget.remaining(MonoClock::now())});
  return out;
}

} // namespace

void registerStateGauges(SharedState &shared,
                         const peers::LoadExchange &peers) {
  metrics::Metrics &m = shared.Metrics;
  m.gauge("sardineford_configuration_version", {}, [&shared] {
    return shared.Watch.routes()
               ? static_cast<double>(shared.Watch.routes()->config().Version)
               : 0.0;
  });
  m.gauge("sardineford_configuration_age_seconds", {},
          [&shared] { return toSeconds(shared.Watch.configurationAge()); });
  m.gauge("sardineford_servers_age_seconds", {},
          [&shared] { return toSeconds(shared.Watch.serversAge()); });
  m.gauge("sardineford_processes", {},
          [&peers] { return static_cast<double>(peers.processes()); });
  m.gauge("sardineford_log_lines_dropped_total", {},
          [] { return static_cast<double>(log::droppedLines()); });
  m.gauge("sardineford_limited_servers", {}, [&shared] {
    return static_cast<double>(shared.Findings.limitedServers());
  });
  m.gauge("sardineford_suspect_prompt_parts", {}, [&shared] {
    return static_cast<double>(shared.Findings.evidence().size());
  });
  m.gauges("sardineford_servers", [&shared] { return countServers(shared); });
  m.gauges("sardineford_requests_in_flight", [&shared] {
    return sumByService(shared, [](const fleet::Server &it) {
      return static_cast<double>(it.LocalWork.Requests);
    });
  });
  m.gauges("sardineford_peer_requests_in_flight", [&shared] {
    return sumByService(shared, [](const fleet::Server &it) {
      return static_cast<double>(it.PeerWork.Requests);
    });
  });
  m.gauges("sardineford_prompt_tokens_waiting", [&shared] {
    return sumByService(shared, [](const fleet::Server &it) {
      return it.tokensAhead(fleet::WorkPriority::Background);
    });
  });
  m.gauges("sardineford_connections_held", [&shared] {
    return connectionsByServer(shared, [&shared](const fleet::Server &it) {
      return shared.Client.connections(it.Entry.Address).Open;
    });
  });
  m.gauges("sardineford_connections_allowed", [&shared] {
    return connectionsByServer(shared, [](const fleet::Server &it) {
      return *it.Connections.Part.Open;
    });
  });
  m.gauges("sardineford_retry_budget_left",
           [&shared] { return remainingRetryBudgets(shared); });
}

Awaitable<void> measureEventLoopLag(metrics::Metrics &metrics) {
  for (;;) {
    MonoTime due = MonoClock::now() + LagInterval;
    co_await sleepFor(LagInterval);
    metrics.observe("sardineford_event_loop_lag_seconds", {},
                    MonoClock::now() - due);
  }
}

} // namespace sardineford::gateway
