#include "Metrics/MetricsText.h"

#include "Sardineford/Metrics/Metrics.h"

#include <catch2/catch.hpp>

using namespace sardineford;
using namespace sardineford::metrics;

TEST_CASE("rendered metrics are read back") {
  Metrics m;
  m.count("requests_total", {{"route", "a \"b\" \\ {c}, d"}}, 3);
  m.gauge("ready", {}, [] { return 1.0; });
  std::vector<Sample> samples = parseMetrics(m.render());
  std::map<std::string, Sample> byName;
  for (const Sample &it : samples)
    byName[it.Name] = it;
  REQUIRE(byName.contains("requests_total"));
  CHECK(byName["requests_total"].Value == 3);
  CHECK(byName["requests_total"].Labels.at("route") == "a \"b\" \\ {c}, d");
  CHECK(byName["ready"].Value == 1);
}

TEST_CASE("lines that are no sample are skipped") {
  CHECK(parseMetrics("").empty());
  CHECK(parseMetrics("# HELP a\n\n{\na{b\na{b=\"c\na{b=\"c\\").empty());
  CHECK(parseMetrics("a{b=\"c\"}\na x\n").empty());
  std::vector<Sample> samples = parseMetrics("broken{\na{x=\"1\",} 2.5e3 9\n");
  REQUIRE(samples.size() == 1);
  CHECK(samples[0].Value == 2'500);
}
