#include "Sardineford/Admission/SizeFairness.h"

namespace sardineford::admission {

namespace acc = boost::accumulators;

namespace {

/// Larger than this share of a route's requests counts as large.
constexpr double LargeQuantile = 0.7;
/// Requests that are needed to know what is large.
constexpr unsigned LeastSeen = 20;
/// Weight of the newest request in the admitted shares: about the last forty
/// count.
constexpr double NewestWeight = 0.05;
/// Large requests are behind when admitted less often than this part of all.
constexpr double FairShare = 0.8;

} // namespace

SizeFairness::SizeFairness()
    : Sizes(acc::quantile_probability = LargeQuantile) {}

bool SizeFairness::isLarge(double size) const {
  return Seen >= LeastSeen && size > acc::p_square_quantile(Sizes);
}

void SizeFairness::note(double size, bool admitted) {
  bool large = isLarge(size);
  Sizes(size);
  ++Seen;
  double value = admitted ? 1 : 0;
  AllAdmitted += (value - AllAdmitted) * NewestWeight;
  if (large)
    LargeAdmitted += (value - LargeAdmitted) * NewestWeight;
}

bool SizeFairness::isBehind(double size) const {
  return isLarge(size) && LargeAdmitted < FairShare * AllAdmitted;
}

} // namespace sardineford::admission
