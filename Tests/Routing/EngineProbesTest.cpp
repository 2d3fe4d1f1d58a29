#include "Sardineford/Routing/EngineProbes.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace sardineford::routing;

namespace {

/// A fleet with four decode engines for each prefill engine, in five failure
/// domains.
std::vector<EngineCandidate> fleetOf(size_t n) {
  std::vector<EngineCandidate> out(n);
  for (size_t i = 0; i < n; ++i) {
    out[i].Role = i % 5 == 0 ? EngineRole::Prefill : EngineRole::Decode;
    out[i].SameDomain = i / 5 % 5 == 0;
  }
  return out;
}

size_t countRole(const std::vector<EngineCandidate> &engines,
                 const std::vector<size_t> &chosen, EngineRole role) {
  return static_cast<size_t>(
      std::count_if(chosen.begin(), chosen.end(),
                    [&](size_t i) { return engines[i].Role == role; }));
}

} // namespace

TEST_CASE("the number of probes does not grow with the fleet") {
  std::mt19937_64 random(1);
  for (size_t n : {200U, 1'900U}) {
    std::vector<EngineCandidate> engines = fleetOf(n);
    std::vector<size_t> chosen =
        chooseProbes(engines, {50, 51, 52, 55}, std::nullopt, random);
    CHECK(chosen.size() == 16);
    CHECK(std::set<size_t>(chosen.begin(), chosen.end()).size() == 16);
    CHECK(countRole(engines, chosen, EngineRole::Prefill) == 8);
    for (size_t it : {50, 51, 52, 55})
      CHECK(std::find(chosen.begin(), chosen.end(), it) != chosen.end());
  }
}

TEST_CASE("most random probes are in the failure domain of the process") {
  std::mt19937_64 random(1);
  std::vector<EngineCandidate> engines = fleetOf(500);
  size_t inDomain = 0;
  for (int i = 0; i < 100; ++i)
    for (size_t it : chooseProbes(engines, {}, EngineRole::Decode, random))
      inDomain += engines[it].SameDomain ? 1 : 0;
  CHECK(inDomain >= 400);
  CHECK(inDomain < 500);
}

TEST_CASE("ejected engines are probed only if there are no others") {
  std::mt19937_64 random(1);
  std::vector<EngineCandidate> engines = fleetOf(100);
  for (size_t i = 0; i < engines.size(); ++i)
    engines[i].Ejected = i != 3;
  CHECK(chooseProbes(engines, {1, 2}, EngineRole::Decode, random) ==
        std::vector<size_t>{3});
  engines[3].Ejected = true;
  CHECK(chooseProbes(engines, {}, EngineRole::Decode, random).size() == 6);
}

TEST_CASE("a fleet of few engines is probed as a whole") {
  std::mt19937_64 random(1);
  std::vector<EngineCandidate> engines = fleetOf(3);
  CHECK(chooseProbes(engines, {}, std::nullopt, random).size() == 3);
  CHECK(chooseProbes({}, {}, std::nullopt, random).empty());
}
