#pragma once

#include "Sardineford/Common/Time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace sardineford::fleet {

/// What may be repeated of a request.
enum class RequestKind {
  /// May run more than once.
  Repeatable,
  /// Runs at most once.
  AtMostOnce,
  /// Answered by a stream of events; runs at most once unless resumable.
  Stream,
};

std::string_view toString(RequestKind k);

/// A service that a route sends to, and its share of the route's requests.
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
  /// A broken stream may go on at another backend server.
  bool Resumable = false;
  /// A request is answered in this time, with a failure if need be.
  Milliseconds Timeout{10'000};
  /// Time to the answer, or to the first event, that callers ask for.
  Milliseconds Objective{1'000};
  /// Longest pause between events that callers ask for; 0 if not told.
  Milliseconds GapObjective{0};
  /// Backend servers that one request may be sent to.
  int MaxAttempts = 1;
  std::vector<Target> Targets;

  /// More than one backend server may run the request.
  bool mayRepeat() const {
    return Kind == RequestKind::Repeatable ||
           (Kind == RequestKind::Stream && Resumable);
  }
};

/// Time after which callers are expected to leave a stream when nothing has
/// come.
Milliseconds estimatedCallerTimeout(const Route &route);

/// Limits of the engines of one service.
struct EngineLimits {
  /// Prompt and output tokens that its key-value memory holds.
  uint64_t KvCacheTokens = 0;
};

struct ServiceSpec {
  std::string Name;
  std::string HealthPath;
  /// Only model engines have it.
  std::optional<EngineLimits> Engine;
};

/// What callers may send and how long they may take.
struct CallerLimits {
  size_t MaxHeaderBytes = size_t{16} * 1024;
  size_t MaxBodyBytes = size_t{4} * 1024 * 1024;
  Milliseconds ReadTimeout{5'000};
  Milliseconds IdleTimeout{15'000};

  bool operator==(const CallerLimits &) const = default;
};

/// One whole configuration; never changed once it is in force.
struct Configuration {
  uint64_t Version = 0;
  std::vector<Route> Routes;
  std::map<std::string, ServiceSpec> Services;
  CallerLimits Limits;
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

/// Finds the route with the longest prefix of the path among those of a host.
class RouteTable {
public:
  explicit RouteTable(ConfigurationPtr config);

  const Route *find(std::string_view host, std::string_view path) const;
  const Configuration &config() const { return *Config; }

private:
  ConfigurationPtr Config;
  /// By host; longest prefix first.
  std::map<std::string, std::vector<const Route *>, std::less<>> ByHost;
};

/// Picks one of the route's services by weight.
const std::string &pickService(const Route &route, std::mt19937_64 &random);

} // namespace sardineford::fleet
