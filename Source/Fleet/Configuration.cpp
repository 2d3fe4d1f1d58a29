#include "Sardineford/Fleet/Configuration.h"

#include <algorithm>
#include <cctype>

namespace sardineford::fleet {

namespace {

/// Callers do not report their timeouts. The estimate is the longest of a
/// minimum, a multiple of the route's objective, and a multiple of the route's
/// gap objective.
constexpr Milliseconds MinCallerTimeout{2'000};
constexpr int CallerTimeoutObjectiveFactor = 4;
constexpr int CallerTimeoutGapFactor = 8;

std::string lowerCase(std::string_view text) {
  std::string out(text);
  std::transform(out.begin(), out.end(), out.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return out;
}

} // namespace

std::string_view toString(RequestKind k) {
  switch (k) {
  case RequestKind::Repeatable:
    return "repeatable";
  case RequestKind::AtMostOnce:
    return "at_most_once";
  case RequestKind::Stream:
    return "stream";
  }
  return "at_most_once";
}

Milliseconds estimatedCallerTimeout(const Route &route) {
  return std::max({MinCallerTimeout,
                   route.Objective * CallerTimeoutObjectiveFactor,
                   route.GapObjective * CallerTimeoutGapFactor});
}

RouteTable::RouteTable(ConfigurationPtr config)
    : Config(std::move(config)), Workspaces(Config->Workspaces) {
  for (const Route &it : Config->Routes)
    ByHost[lowerCase(it.Host)].push_back(&it);
  for (auto &[host, routes] : ByHost)
    std::stable_sort(routes.begin(), routes.end(),
                     [](const Route *a, const Route *b) {
                       return a->PathPrefix.size() > b->PathPrefix.size();
                     });
}

const Route *RouteTable::find(std::string_view host,
                              std::string_view path) const {
  auto it = ByHost.find(lowerCase(host.substr(0, host.find(':'))));
  if (it == ByHost.end())
    return nullptr;
  for (const Route *route : it->second)
    if (path.substr(0, route->PathPrefix.size()) == route->PathPrefix)
      return route;
  return nullptr;
}

const std::string &pickService(const Route &route, std::mt19937_64 &random) {
  if (route.Targets.size() == 1)
    return route.Targets.front().Service;
  double sum = 0;
  for (const Target &it : route.Targets)
    sum += it.Weight;
  double point = std::uniform_real_distribution<double>(0, sum)(random);
  for (const Target &it : route.Targets) {
    point -= it.Weight;
    if (point < 0 && it.Weight > 0)
      return it.Service;
  }
  return route.Targets.back().Service;
}

std::set<std::string> resumableServices(const Configuration &configuration) {
  std::set<std::string> out;
  for (const Route &route : configuration.Routes)
    for (const Target &it : route.Targets)
      if (route.Kind == RequestKind::Stream && route.Resumable)
        out.insert(it.Service);
  return out;
}

} // namespace sardineford::fleet
