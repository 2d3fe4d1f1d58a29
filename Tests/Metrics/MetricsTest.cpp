#include "Sardineford/Metrics/Metrics.h"

#include <catch2/catch.hpp>

using namespace sardineford;
using namespace sardineford::metrics;

namespace {

bool hasLine(const std::string &text, const std::string &line) {
  return ("\n" + text).find("\n" + line + "\n") != std::string::npos;
}

} // namespace

TEST_CASE("durations are rendered as a cumulative histogram") {
  Metrics m;
  for (double it : {0.001, 0.03, 0.2, 60.0})
    m.observe("x_seconds", {{"route", "r"}}, Seconds(it));
  std::string text = m.render();
  CHECK(hasLine(text, R"(x_seconds_bucket{route="r",le="0.005"} 1)"));
  CHECK(hasLine(text, R"(x_seconds_bucket{route="r",le="0.05"} 2)"));
  CHECK(hasLine(text, R"(x_seconds_bucket{route="r",le="0.25"} 3)"));
  CHECK(hasLine(text, R"(x_seconds_bucket{route="r",le="30"} 3)"));
  CHECK(hasLine(text, R"(x_seconds_bucket{route="r",le="+Inf"} 4)"));
  CHECK(hasLine(text, R"(x_seconds_count{route="r"} 4)"));
}

TEST_CASE("values and labels of a gauge family are read at each rendering") {
  Metrics m;
  Metrics::Family now;
  m.gauges("x", [&] { return now; });
  CHECK(m.render().empty());
  now = {{{{"service", "a"}}, 2}, {{{"service", "b"}}, 3}};
  std::string text = m.render();
  CHECK(hasLine(text, R"(x{service="a"} 2)"));
  CHECK(hasLine(text, R"(x{service="b"} 3)"));
}
