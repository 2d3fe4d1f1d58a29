#include "Explain/RequestTrace.h"

#include <catch2/catch.hpp>

#include <sstream>

using namespace sardineford;
using namespace sardineford::explain;

TEST_CASE("a request's trace has its lines and the state changes before them") {
  std::istringstream in(
      R"(garbage
{"time_ms":1000,"process":"a","event":"configuration","version":4}
{"time_ms":8900,"process":"a","event":"server","server":"i-1","change":"draining"}
{"time_ms":9000,"process":"b","event":"server","server":"i-2","change":"found"}
  0.5 a {"time_ms":10000,"process":"a","event":"admission","request":"r1","outcome":"urgent"}
{"time_ms":10050,"process":"a","event":"attempt","request":"r2","outcome":"answered"}
{"time_ms":10100,"process":"a","event":"request","request":"r1","status":502}
{"half a line)");
  std::vector<LogLine> trace = traceRequest(readLines(in), "r1");
  REQUIRE(trace.size() == 3);
  CHECK(trace[0].Event == "server");
  CHECK(trace[1].Event == "admission");
  CHECK(trace[2].Event == "request");
  CHECK(formatLine(trace[2], trace[0].Time).find("1200 ms") !=
        std::string::npos);
  CHECK(formatLine(trace[2], trace[0].Time).find("status=502") !=
        std::string::npos);
  std::istringstream none("");
  CHECK(traceRequest(readLines(none), "r1").empty());
}
