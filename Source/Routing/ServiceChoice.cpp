#include "Sardineford/Routing/ServiceChoice.h"

#include <algorithm>

namespace sardineford::routing {

namespace {

/// Weights against one full set of slots in flight.
constexpr double FailureWeight = 3;
constexpr double HeldOffWeight = 100;
constexpr double OtherDomainWeight = 0.05;
/// Spreads equal instances, so that processes do not choose alike.
constexpr double Spread = 0.1;

} // namespace

std::optional<size_t>
chooseServiceInstance(const std::vector<ServiceCandidate> &instances,
                      std::mt19937_64 &random) {
  std::uniform_real_distribution<double> spread(0, Spread);
  std::optional<size_t> best;
  double least = 0;
  for (size_t i = 0; i < instances.size(); ++i) {
    const ServiceCandidate &c = instances[i];
    double score = static_cast<double>(c.Requests) /
                       static_cast<double>(std::max(1U, c.Slots)) +
                   FailureWeight * c.FailureRatio +
                   (c.Ejected ? HeldOffWeight : 0) +
                   (c.SameDomain ? 0 : OtherDomainWeight) + spread(random);
    if (best && score >= least)
      continue;
    best = i;
    least = score;
  }
  return best;
}

} // namespace sardineford::routing
