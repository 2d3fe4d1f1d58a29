#include "Sardineford/Fleet/ServerUse.h"

#include "Sardineford/Fleet/Directory.h"

#include <catch2/catch.hpp>

using namespace sardineford;
using namespace sardineford::fleet;

namespace {

constexpr MonoTime Start{std::chrono::seconds(100)};

ServerUse judge(const Server &server, Milliseconds later = Milliseconds(0)) {
  return judgeServer(server, true, Start + later);
}

} // namespace

TEST_CASE("a server that has just said that it leaves is the last resort") {
  Server s;
  CHECK(judge(s) == ServerUse::Usable);
  s.Leaving = true;
  CHECK(judge(s) == ServerUse::Leaving);
  s.LeavingSaidAt = Start;
  CHECK(judge(s) == ServerUse::LastResort);
  CHECK(judge(s, Milliseconds(999)) == ServerUse::LastResort);
  CHECK(judge(s, Milliseconds(1'000)) == ServerUse::Leaving);
  CHECK_FALSE(isUsable(ServerUse::LastResort));
}

TEST_CASE("a server that asked for time is closed until it has passed") {
  Server s;
  s.ClosedUntil =
      closeAfterRejection(s.ClosedUntil, Milliseconds(1'500), Start);
  CHECK(judge(s, Milliseconds(1'499)) == ServerUse::Closed);
  CHECK(judge(s, Milliseconds(1'500)) == ServerUse::Usable);
  // It is not used as the last resort either.
  s.Leaving = true;
  s.LeavingSaidAt = Start;
  CHECK(judge(s) == ServerUse::Closed);
}

TEST_CASE("later rejections extend the time of a closed server only") {
  MonoTime until = closeAfterRejection({}, Milliseconds(5'000), Start);
  CHECK(closeAfterRejection(until, Milliseconds(1'000), Start) == until);
  CHECK(closeAfterRejection(until, std::nullopt, Start) == until);
  CHECK(closeAfterRejection(until, Milliseconds(9'000), Start) ==
        Start + Milliseconds(9'000));
  CHECK(closeAfterRejection({}, std::nullopt, Start) == MonoTime{});
}

TEST_CASE("an absurd time does not close a server for good") {
  MonoTime until = closeAfterRejection({}, std::chrono::hours(24), Start);
  CHECK(until == Start + std::chrono::hours(1));
}

TEST_CASE("a server over its limit or with failures is not leaving") {
  Server s;
  CHECK(judgeServer(s, false, Start) == ServerUse::OverLimit);
  for (int i = 0; i < 10; ++i)
    s.Health.recordFailure(FailureKind::Broken, Start);
  CHECK(judge(s) == ServerUse::Ejected);
  CHECK(isUsable(ServerUse::Ejected));
}
