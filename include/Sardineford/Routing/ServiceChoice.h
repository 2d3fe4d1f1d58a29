#pragma once

#include <cstddef>
#include <optional>
#include <random>
#include <vector>

namespace sardineford::routing {

/// An instance of a plain service as choosing sees it.
struct ServiceCandidate {
  bool SameDomain = true;
  /// Requests in flight there, of all processes.
  unsigned Requests = 0;
  unsigned Slots = 1;
  /// Share of late attempts that failed, 0 to 1.
  double FailureRatio = 0;
  /// Left out unless nothing else is there.
  bool Ejected = false;
};

/// Chooses the least loaded instance; failing ones and those of other failure
/// domains are taken later. Answers short calls to few instances, some of
/// which may be failing. Empty when there is none.
std::optional<size_t>
chooseServiceInstance(const std::vector<ServiceCandidate> &instances,
                      std::mt19937_64 &random);

} // namespace sardineford::routing
