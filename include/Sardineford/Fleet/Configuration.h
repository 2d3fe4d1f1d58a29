#pragma once

#include "Sardineford/Common/Time.h"
#include "Sardineford/Duties/Scaling.h"
#include "Sardineford/Fleet/Workspace.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace sardineford::fleet {

/// Retry semantics of a request.
enum class RequestKind {
  /// May run more than once.
  Repeatable,
  /// Runs at most once.
  AtMostOnce,
  /// Answered by a stream of events; runs at most once unless the route is
  /// resumable.
  Stream,
};

std::string_view toString(RequestKind k);

/// Service that receives a route's requests in proportion to its weight.
struct Target {
  std::string Service;
  double Weight = 1;
};

struct Route {
  std::string Name;
  std::string Host;
  /// Begins and ends with a slash.
  std::string PathPrefix;
  RequestKind Kind = RequestKind::AtMostOnce;
  /// A broken stream may be resumed at another backend server.
  bool Resumable = false;
  /// Time limit for the response; the request fails when the limit expires.
  Milliseconds Timeout{10'000};
  /// Target time to the response, or to the first event of a stream.
  Milliseconds Objective{1'000};
  /// Target for the longest pause between events; 0 if not configured.
  Milliseconds GapObjective{0};
  /// Maximum number of backend servers that a request is sent to.
  int MaxAttempts = 1;
  std::vector<Target> Targets;
  /// Rank of the route's requests, 0 is the highest.
  int Priority = 0;
  /// Requests need no key of a workspace.
  bool Anonymous = false;

  /// Returns true if more than one backend server may run the request.
  bool mayRepeat() const {
    return Kind == RequestKind::Repeatable ||
           (Kind == RequestKind::Stream && Resumable);
  }
};

/// Estimates the time after which callers disconnect from a stream that has
/// sent nothing.
Milliseconds estimatedCallerTimeout(const Route &route);

/// Limits of the engines of one service.
struct EngineLimits {
  /// Prompt and output tokens that fit into the KV cache of an engine.
  uint64_t KvCacheTokens = 0;
};

struct ServiceSpec {
  std::string Name;
  std::string HealthPath;
  /// Set only for services of engines.
  std::optional<EngineLimits> Engine;
  /// Set only for services whose servers can be ordered.
  std::optional<duties::ScalingBounds> Scaling;
  /// Connections that a server accepts from all processes together; 0 if it is
  /// not known.
  unsigned MaxConnections = 0;
};

/// Limits on the requests and connections of callers.
struct CallerLimits {
  size_t MaxHeaderBytes = size_t{16} * 1024;
  size_t MaxBodyBytes = size_t{4} * 1024 * 1024;
  Milliseconds ReadTimeout{5'000};
  Milliseconds IdleTimeout{15'000};

  bool operator==(const CallerLimits &) const = default;
};

/// Complete configuration; immutable once applied.
struct Configuration {
  uint64_t Version = 0;
  std::vector<Route> Routes;
  std::map<std::string, ServiceSpec> Services;
  CallerLimits Limits;
  /// Accounts of the callers. If there are any, requests need a key of one of
  /// them, except on anonymous routes.
  std::vector<Workspace> Workspaces;

  bool requiresKeys() const { return !Workspaces.empty(); }
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

/// Finds the route of a host with the longest matching path prefix.
class RouteTable {
public:
  explicit RouteTable(ConfigurationPtr config);

  const Route *find(std::string_view host, std::string_view path) const;
  const Configuration &config() const { return *Config; }
  const WorkspaceTable &workspaces() const { return Workspaces; }

private:
  ConfigurationPtr Config;
  WorkspaceTable Workspaces;
  /// Routes by host, longest prefix first.
  std::map<std::string, std::vector<const Route *>, std::less<>> ByHost;
};

/// Picks one of the route's services at random, by weight.
const std::string &pickService(const Route &route, std::mt19937_64 &random);

/// Returns the services whose streams callers can take up.
std::set<std::string> resumableServices(const Configuration &configuration);

} // namespace sardineford::fleet
