#pragma once

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <array>
#include <cstddef>
#include <optional>

namespace sardineford::admission {

/// Follows whether large requests of a route are served about as often as
/// the others. Answers loads that last above what the engines can do, where
/// small requests always find room sooner and large ones would never be
/// served.
class SizeFairness {
public:
  SizeFairness();

  void record(double size, bool served);
  /// A request of this size belongs to those that are served too seldom.
  bool isUnderserved(double size) const;

private:
  using Quantile = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::p_square_quantile>>;

  /// The requests above a quantile of the sizes.
  struct Tail {
    explicit Tail(double quantile);

    Quantile From;
    double Served = 1;
  };

  /// The last tail that a size belongs to.
  std::optional<size_t> tailOf(double size) const;

  std::array<Tail, 2> Tails;
  unsigned Seen = 0;
  double AllServed = 1;
};

} // namespace sardineford::admission
