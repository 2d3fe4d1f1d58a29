#pragma once

#include <cstddef>
#include <optional>
#include <random>
#include <vector>

namespace sardineford::routing {

/// State of an instance of a service without engines.
struct ServiceCandidate {
  bool SameDomain = true;
  /// Requests in flight at the instance, sent by any process.
  unsigned Requests = 0;
  unsigned Slots = 1;
  /// Ratio of recent attempts that failed, 0 to 1.
  double FailureRatio = 0;
  /// Gets a high cost, so that the instance is chosen only if no other is
  /// available.
  bool Ejected = false;
  /// Running and waiting requests that the instance reports, averaged, and the
  /// ratio of the time that work takes there to the usual time.
  double ReportedRequests = 0;
  double TimeRatio = 1;
  /// Weight of the reports, 0 without any to 1.
  double ReportWeight = 0;
};

/// Chooses the least loaded instance. Services receive short calls and have few
/// instances, some of which may be failing: instances that fail or lie in
/// another failure domain count as more loaded. Returns nothing if there is no
/// instance.
std::optional<size_t>
chooseServiceInstance(const std::vector<ServiceCandidate> &instances,
                      std::mt19937_64 &random);

} // namespace sardineford::routing
