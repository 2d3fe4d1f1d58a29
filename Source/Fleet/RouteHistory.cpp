#include "Fleet/RouteHistory.h"

#include "Sardineford/Fleet/Directory.h"

#include <algorithm>

namespace sardineford::fleet {

void RouteHistory::record(const Configuration &configuration, MonoTime now) {
  for (const auto &[route, services] : Targets)
    for (const std::string &it : services)
      Former[route][it] = now;
  for (auto &[route, services] : Former)
    std::erase_if(services, [&](const auto &it) {
      return now - it.second >= StreamMemory;
    });
  std::erase_if(Former, [](const auto &it) { return it.second.empty(); });
  Targets.clear();
  for (const Route &route : configuration.Routes)
    if (route.Kind == RequestKind::Stream && route.Resumable)
      for (const Target &it : route.Targets)
        Targets[route.Name].insert(it.Service);
}

std::set<std::string> RouteHistory::services(const std::string &route,
                                             MonoTime now) const {
  std::set<std::string> out;
  if (auto it = Targets.find(route); it != Targets.end())
    out = it->second;
  if (auto it = Former.find(route); it != Former.end())
    for (const auto &[service, at] : it->second)
      if (now - at < StreamMemory)
        out.insert(service);
  return out;
}

bool RouteHistory::sharesStreams(const std::string &service,
                                 MonoTime now) const {
  return std::any_of(Targets.begin(), Targets.end(), [&](const auto &it) {
    std::set<std::string> all = services(it.first, now);
    return all.size() > 1 && all.contains(service);
  });
}

} // namespace sardineford::fleet
