#include "Sardineford/Routing/ServiceChoice.h"

#include <algorithm>

namespace sardineford::routing {

namespace {

/// Costs in units of utilization, where 1 means that all slots are in use.
constexpr double FailureWeight = 3;
constexpr double EjectionWeight = 100;
constexpr double OtherDomainWeight = 0.05;
/// Random part of the score, so that processes with the same data do not all
/// choose the same one of equal instances.
constexpr double MaxJitter = 0.1;

/// Returns the requests in relation to the slots. What the instance reports
/// counts by its weight: also what processes have sent that are not known here,
/// and one more request where work takes longer.
double utilization(const ServiceCandidate &c) {
  double requests = c.Requests;
  requests += (c.ReportedRequests - requests) * c.ReportWeight;
  double slowed = (requests + 1) * (c.TimeRatio - 1) * c.ReportWeight;
  return (requests + slowed) / std::max(1U, c.Slots);
}

} // namespace

std::optional<size_t>
chooseServiceInstance(const std::vector<ServiceCandidate> &instances,
                      std::mt19937_64 &random) {
  std::uniform_real_distribution<double> jitter(0, MaxJitter);
  std::optional<size_t> best;
  double bestScore = 0;
  for (size_t i = 0; i < instances.size(); ++i) {
    const ServiceCandidate &c = instances[i];
    double score = utilization(c) + FailureWeight * c.FailureRatio +
                   (c.Ejected ? EjectionWeight : 0) +
                   (c.SameDomain ? 0 : OtherDomainWeight) + jitter(random);
    if (best && score >= bestScore)
      continue;
    best = i;
    bestScore = score;
  }
  return best;
}

} // namespace sardineford::routing
