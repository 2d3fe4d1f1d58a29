#include "Sardineford/Admission/SizeFairness.h"

#include <catch2/catch.hpp>

#include <random>

using namespace sardineford::admission;

namespace {

/// Plays an overload in which a request finds room the less likely the larger
/// it is, unless its size is behind. Returns the served shares of all and of
/// the largest tenth.
std::pair<double, double> playOverload() {
  SizeFairness f;
  std::mt19937_64 random(1);
  std::lognormal_distribution<double> sizes(8, 1);
  std::uniform_real_distribution<double> chance(0, 1);
  // Ninetieth percentile of the sizes.
  const double largest = std::exp(8 + 1.2816);
  double all = 0;
  double allServed = 0;
  double large = 0;
  double largeServed = 0;
  for (int i = 0; i < 5'000; ++i) {
    double size = sizes(random);
    bool served = f.isUnderserved(size) ||
                  chance(random) < 0.7 * std::exp(-size / 12'000);
    f.record(size, served);
    ++all;
    allServed += served ? 1 : 0;
    if (size < largest)
      continue;
    ++large;
    largeServed += served ? 1 : 0;
  }
  return {allServed / all, largeServed / large};
}

} // namespace

TEST_CASE("in lasting overload no size of request is left behind") {
  auto [all, largest] = playOverload();
  CHECK(all < 0.8);
  CHECK(largest > 0.5 * all);
}

TEST_CASE("little is known of sizes at first") {
  SizeFairness f;
  f.record(10, true);
  f.record(1'000, false);
  CHECK_FALSE(f.isUnderserved(1'000));
}
