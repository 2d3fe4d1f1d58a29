#include "Sardineford/Fleet/RequestLimit.h"

#include <catch2/catch.hpp>

using namespace sardineford;
using namespace sardineford::fleet;

namespace {

MonoTime at(int ms) { return MonoTime{} + Milliseconds(ms); }

double sumOfShares(double perSecond, size_t processes) {
  double sum = 0;
  for (size_t i = 0; i < processes; ++i)
    sum += shareOfLimit(perSecond, i, processes);
  return sum;
}

} // namespace

TEST_CASE("the shares of all processes make up the limit") {
  for (size_t processes : {1, 6, 350})
    for (double limit : {0.1, 0.3, 1.0, 2.2, 40.0, 5'000.0}) {
      INFO(processes << " processes, limit " << limit);
      CHECK(sumOfShares(limit, processes) == Approx(limit));
    }
}

TEST_CASE("a limit below one request a process is shared by a few") {
  size_t sharers = 0;
  for (size_t i = 0; i < 350; ++i)
    sharers += shareOfLimit(2.2, i, 350) > 0 ? 1 : 0;
  CHECK(sharers == 2);
}

TEST_CASE("a server that takes no requests is asked rarely") {
  CHECK(sumOfShares(0, 6) == Approx(0.1));
}

TEST_CASE("the newer statement of a limit holds, whatever arrives first") {
  RequestLimit limit{2.0, at(1'000)};
  CHECK_FALSE(mergeLimit(limit, {3.0, at(900)}));
  CHECK(limit.PerSecond == 2.0);
  CHECK(mergeLimit(limit, {3.0, at(1'100)}));
  CHECK_FALSE(mergeLimit(limit, {3.0, at(1'200)}));
  CHECK(mergeLimit(limit, {std::nullopt, at(1'300)}));
  CHECK_FALSE(mergeLimit(limit, {3.0, at(1'250)}));
  CHECK_FALSE(limit.PerSecond);
}

TEST_CASE("a response that was requested before the limit does not end it") {
  RequestLimit known{2.0, at(1'000)};
  CHECK(limitAfterResponse(known, std::nullopt, at(990), at(1'100)).PerSecond ==
        2.0);
  CHECK_FALSE(
      limitAfterResponse(known, std::nullopt, at(1'010), at(1'100)).PerSecond);
  CHECK(limitAfterResponse(known, 5.0, at(990), at(1'100)).PerSecond == 5.0);
}

TEST_CASE("unused requests of a limit are kept for a short time only") {
  RequestTokens tokens{0, at(0)};
  refillTokens(tokens, 2, at(250));
  CHECK(tokens.Available == Approx(0.5));
  refillTokens(tokens, 2, at(60'000));
  CHECK(tokens.Available == Approx(1));
  refillTokens(tokens, 100, at(120'000));
  CHECK(tokens.Available == Approx(25));
}
