#include "Sardineford/Metrics/BoundedLabel.h"

#include <catch2/catch.hpp>

#include <set>

using namespace sardineford::metrics;

// Guards against a series for each of 31,000 workspaces.
TEST_CASE("the values of a bounded label share one series from a number on") {
  BoundedLabel label(50);
  std::set<std::string> values;
  for (int i = 0; i < 31'000; ++i)
    values.insert(label.valueFor("w" + std::to_string(i)));
  CHECK(values.size() == 50);
  CHECK(label.valueFor("w3") == "w3");
  CHECK(label.valueFor("w40") == "w40");
  CHECK(label.valueFor("w30000") == "other");
}
