#include "Peers/Mesh.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <set>

using namespace sardineford::peers;

// All processes report, then pass on what they were told, as 350 nodes would.
TEST_CASE("everyone hears of everyone in two steps") {
  for (size_t n : {1, 2, 6, 12, 13, 14, 17, 30, 58, 59, 100, 350}) {
    INFO(n << " processes");
    std::vector<MeshPlan> plans;
    std::vector<std::set<size_t>> heard(n);
    for (size_t i = 0; i < n; ++i) {
      plans.push_back(planMesh(n, i));
      heard[i].insert(i);
    }
    std::vector<std::set<size_t>> near = heard;
    for (size_t i = 0; i < n; ++i)
      for (size_t to : plans[i].Near)
        near[to].insert(i);
    heard = near;
    for (size_t i = 0; i < n; ++i)
      for (size_t to : plans[i].Far)
        heard[to].insert(near[i].begin(), near[i].end());
    size_t most = 0;
    for (size_t i = 0; i < n; ++i) {
      CHECK(heard[i].size() == n);
      most = std::max(most, plans[i].Near.size() + plans[i].Far.size());
    }
    double root = std::sqrt(static_cast<double>(n));
    CHECK(static_cast<double>(most) <= std::max(11.0, std::ceil(3 * root)));
  }
}
