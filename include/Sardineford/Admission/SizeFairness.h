#pragma once

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace sardineford::admission {

/// Follows whether large requests of a route are admitted about as often as
/// the others. Answers loads that last above what the engines can do, where
/// small requests always find room sooner and large ones would never be
/// served.
class SizeFairness {
public:
  SizeFairness();

  void note(double size, bool admitted);
  /// A request of this size belongs to those that are admitted too seldom.
  bool isBehind(double size) const;

private:
  bool isLarge(double size) const;

  boost::accumulators::accumulator_set<
      double, boost::accumulators::stats<boost::accumulators::tag::p_square_quantile>>
      Sizes;
  unsigned Seen = 0;
  double LargeAdmitted = 1;
  double AllAdmitted = 1;
};

} // namespace sardineford::admission
