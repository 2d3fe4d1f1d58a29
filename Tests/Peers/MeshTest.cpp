#include "Peers/Mesh.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <set>

using namespace sardineford::peers;

// Simulates both steps for up to 350 processes: each one sends its report to
// its group, then relays the reports that it received.
TEST_CASE("every report reaches every process in two steps") {
  for (size_t n : {1, 2, 6, 12, 13, 14, 17, 30, 58, 59, 100, 350}) {
    INFO(n << " processes");
    std::vector<MeshPlan> plans;
    std::vector<std::set<size_t>> received(n);
    for (size_t i = 0; i < n; ++i) {
      plans.push_back(planMesh(n, i));
      received[i].insert(i);
    }
    std::vector<std::set<size_t>> inGroup = received;
    for (size_t i = 0; i < n; ++i)
      for (size_t to : plans[i].SameGroup)
        inGroup[to].insert(i);
    received = inGroup;
    for (size_t i = 0; i < n; ++i)
      for (size_t to : plans[i].OtherGroups)
        received[to].insert(inGroup[i].begin(), inGroup[i].end());
    size_t maxRecipients = 0;
    for (size_t i = 0; i < n; ++i) {
      CHECK(received[i].size() == n);
      maxRecipients = std::max(maxRecipients, plans[i].SameGroup.size() +
                                                  plans[i].OtherGroups.size());
    }
    double root = std::sqrt(static_cast<double>(n));
    CHECK(static_cast<double>(maxRecipients) <=
          std::max(11.0, std::ceil(3 * root)));
  }
}
