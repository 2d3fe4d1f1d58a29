#pragma once

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <array>
#include <cstddef>
#include <optional>

namespace sardineford::admission {

/// Tracks whether large requests of a route are served about as often as the
/// others. Under sustained overload small requests fit into the queues earlier,
/// and large ones would never be served.
class SizeFairness {
public:
  SizeFairness();

  void record(double size, bool served);
  /// Returns whether requests of this size are served less often than others.
  bool isUnderserved(double size) const;

private:
  using Quantile = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::p_square_quantile>>;

  /// The requests larger than a quantile of the sizes.
  struct Tail {
    explicit Tail(double quantile);

    Quantile MinSize;
    double ServedRatio = 1;
  };

  /// Returns the index of the highest tail that contains a size; empty if there
  /// is none or too few requests are recorded.
  std::optional<size_t> tailOf(double size) const;

  std::array<Tail, 2> Tails;
  unsigned RecordedRequests = 0;
  double OverallServedRatio = 1;
};

} // namespace sardineford::admission
