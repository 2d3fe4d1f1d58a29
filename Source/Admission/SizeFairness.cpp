#include "Sardineford/Admission/SizeFairness.h"

namespace sardineford::admission {

namespace acc = boost::accumulators;

namespace {

/// The largest tenth of a route's requests and the fifth below it are followed
/// each by itself.
constexpr double LargeQuantile = 0.7;
constexpr double LargestQuantile = 0.9;
/// Requests that are needed to know what is large.
constexpr unsigned LeastSeen = 20;
/// Weight of the newest request in the served shares: about the last forty
/// count.
constexpr double NewestWeight = 0.05;
/// Large requests are behind when served less often than this part of all.
constexpr double FairShare = 0.8;

} // namespace

SizeFairness::Tail::Tail(double quantile)
    : From(acc::quantile_probability = quantile) {}

SizeFairness::SizeFairness()
    : Tails{Tail(LargeQuantile), Tail(LargestQuantile)} {}

std::optional<size_t> SizeFairness::tailOf(double size) const {
  if (Seen < LeastSeen)
    return std::nullopt;
  for (size_t i = Tails.size(); i-- > 0;)
    if (size > acc::p_square_quantile(Tails[i].From))
      return i;
  return std::nullopt;
}

void SizeFairness::record(double size, bool served) {
  double value = served ? 1 : 0;
  if (std::optional<size_t> tail = tailOf(size)) {
    double &share = Tails[*tail].Served;
    share += (value - share) * NewestWeight;
  }
  for (Tail &it : Tails)
    it.From(size);
  ++Seen;
  AllServed += (value - AllServed) * NewestWeight;
}

bool SizeFairness::isUnderserved(double size) const {
  std::optional<size_t> tail = tailOf(size);
  return tail && Tails[*tail].Served < FairShare * AllServed;
}

} // namespace sardineford::admission
