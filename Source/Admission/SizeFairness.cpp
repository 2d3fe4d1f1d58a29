#include "Sardineford/Admission/SizeFairness.h"

namespace sardineford::admission {

namespace acc = boost::accumulators;

namespace {

/// Quantiles of the sizes: the largest tenth of a route's requests and the
/// fifth below it are tracked separately.
constexpr double LargeQuantile = 0.7;
constexpr double LargestQuantile = 0.9;
/// Number of requests before the quantiles are used.
constexpr unsigned MinRecordedRequests = 20;
/// Weight of a sample in the moving averages of the served ratios; about the
/// last forty requests determine them.
constexpr double SampleWeight = 0.05;
/// Large requests are underserved below this fraction of the overall served
/// ratio.
constexpr double FairRatio = 0.8;

} // namespace

SizeFairness::Tail::Tail(double quantile)
    : MinSize(acc::quantile_probability = quantile) {}

SizeFairness::SizeFairness()
    : Tails{Tail(LargeQuantile), Tail(LargestQuantile)} {}

std::optional<size_t> SizeFairness::tailOf(double size) const {
  if (RecordedRequests < MinRecordedRequests)
    return std::nullopt;
  for (size_t i = Tails.size(); i-- > 0;)
    if (size > acc::p_square_quantile(Tails[i].MinSize))
      return i;
  return std::nullopt;
}

void SizeFairness::record(double size, bool served) {
  double value = served ? 1 : 0;
  if (std::optional<size_t> tail = tailOf(size)) {
    double &ratio = Tails[*tail].ServedRatio;
    ratio += (value - ratio) * SampleWeight;
  }
  for (Tail &it : Tails)
    it.MinSize(size);
  ++RecordedRequests;
  OverallServedRatio += (value - OverallServedRatio) * SampleWeight;
}

bool SizeFairness::isUnderserved(double size) const {
  std::optional<size_t> tail = tailOf(size);
  return tail && Tails[*tail].ServedRatio < FairRatio * OverallServedRatio;
}

} // namespace sardineford::admission
