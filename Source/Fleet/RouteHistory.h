#pragma once

#include "Sardineford/Common/Time.h"
#include "Sardineford/Fleet/Configuration.h"

#include <map>
#include <set>
#include <string>

namespace sardineford::fleet {

/// The services at which the streams of a route can have begun: its targets in
/// the configuration in force, and those of earlier configurations until no
/// caller can come back with a stream from there.
class RouteHistory {
public:
  /// Records that a configuration is in force from now on.
  void record(const Configuration &configuration, MonoTime now);
  std::set<std::string> services(const std::string &route, MonoTime now) const;
  /// Returns whether streams of some route to the service can have begun at
  /// another one.
  bool sharesStreams(const std::string &service, MonoTime now) const;

private:
  std::map<std::string, std::set<std::string>> Targets;
  /// Time at which a service was last a target, by route and service.
  std::map<std::string, std::map<std::string, MonoTime>> Former;
};

} // namespace sardineford::fleet
