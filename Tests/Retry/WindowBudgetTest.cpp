#include "Sardineford/Retry/WindowBudget.h"

#include <catch2/catch.hpp>

using namespace sardineford;
using namespace sardineford::retry;

TEST_CASE(
    "all processes together stay within the limit without communication") {
  constexpr unsigned Processes = 6;
  BudgetBounds bounds{0.2, 52, Milliseconds(10'000)};
  MonoTime now{std::chrono::seconds(100)};
  std::vector<WindowBudget> all(Processes, WindowBudget(bounds, now));
  int requests = 0;
  int attempts = 0;
  for (WindowBudget &it : all) {
    it.setProcesses(Processes);
    for (int i = 0; i < 50; ++i) {
      it.recordRequest(now);
      ++requests;
    }
    while (it.withdraw(now))
      ++attempts;
  }
  CHECK(attempts > 0);
  CHECK(attempts <= 0.2 * requests + 52);
}

TEST_CASE("the limit applies to every sliding window") {
  WindowBudget b({0, 10, Milliseconds(10'000)},
                 MonoTime(std::chrono::seconds(100)));
  MonoTime t{std::chrono::seconds(100)};
  int attempts = 0;
  for (int i = 0; i < 100; ++i, t += Milliseconds(100))
    attempts += b.withdraw(t) ? 1 : 0;
  CHECK(attempts <= 10);
  t += std::chrono::seconds(10);
  CHECK(b.withdraw(t));
}

TEST_CASE("a refunded attempt can be made again") {
  MonoTime t{std::chrono::seconds(100)};
  WindowBudget b({0, 10, Milliseconds(10'000)}, t);
  int attempts = 0;
  while (b.withdraw(t))
    ++attempts;
  b.refund(t);
  CHECK(b.withdraw(t));
  CHECK_FALSE(b.withdraw(t));
  CHECK(attempts == 7);
}
