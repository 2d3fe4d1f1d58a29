#include "Common/BoundedSink.h"

#include "Explain/RequestTrace.h"
#include "Sardineford/Common/Log.h"

#include <catch2/catch.hpp>
#include <spdlog/logger.h>

#include <unistd.h>

#include <array>
#include <sstream>

using namespace sardineford;

namespace {

/// A pipe that nothing reads while lines are written.
struct UnreadPipe {
  UnreadPipe() { REQUIRE(::pipe(Ends.data()) == 0); }
  ~UnreadPipe() {
    ::close(Ends[0]);
    ::close(Ends[1]);
  }

  std::string read() const {
    std::string buf(1 << 20, '\0');
    ssize_t n = ::read(Ends[0], buf.data(), buf.size());
    buf.resize(n > 0 ? static_cast<size_t>(n) : 0);
    return buf;
  }

  std::array<int, 2> Ends{};
};

} // namespace

TEST_CASE("lines are dropped, without blocking, when the pipe is full") {
  UnreadPipe pipe;
  auto sink = std::make_shared<log::BoundedSink>(pipe.Ends[1], 1 << 30,
                                                 log::formatDroppedLines);
  spdlog::logger logger("test", sink);
  logger.set_pattern("%v");
  const std::string line(200, 'x');
  // Several times the capacity of the pipe; a blocking writer would never
  // return.
  for (int i = 0; i < 5'000; ++i)
    logger.info(line);
  CHECK(sink->dropped() > 0);
  std::string written = pipe.read();
  CHECK(written.size() > 1'000);
  logger.info("after");
  std::string reported = pipe.read();
  CHECK(reported.find("lines_dropped") != std::string::npos);
  CHECK(reported.find("after") != std::string::npos);
  // sardineford-explain reads the line, since the line has a time and a
  // process.
  std::istringstream in(reported);
  std::vector<explain::LogLine> lines = explain::readLines(in);
  REQUIRE(lines.size() == 1);
  CHECK(lines[0].Event == "lines_dropped");
  CHECK(lines[0].Fields.at("total").to_number<uint64_t>() == sink->dropped());
  CHECK(lines[0].Fields.contains("process"));
}

TEST_CASE("lines over the rate limit are dropped") {
  UnreadPipe pipe;
  auto sink = std::make_shared<log::BoundedSink>(pipe.Ends[1], 1'000,
                                                 log::formatDroppedLines);
  spdlog::logger logger("test", sink);
  for (int i = 0; i < 200; ++i)
    logger.info(std::string(100, 'x'));
  CHECK(sink->dropped() > 100);
}
