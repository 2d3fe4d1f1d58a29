#include "Sardineford/Admission/SizeFairness.h"

#include <catch2/catch.hpp>

#include <random>

using namespace sardineford::admission;

namespace {

/// Simulates an overload in which large requests are served less often than
/// small ones unless their size is underserved. Returns the served ratios of
/// all requests and of the largest tenth.
std::pair<double, double> simulateOverload() {
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

TEST_CASE("large requests are served under sustained overload") {
  auto [all, largest] = simulateOverload();
  CHECK(all < 0.8);
  CHECK(largest > 0.5 * all);
}

TEST_CASE("no size is underserved before enough requests are recorded") {
  SizeFairness f;
  f.record(10, true);
  f.record(1'000, false);
  CHECK_FALSE(f.isUnderserved(1'000));
}
