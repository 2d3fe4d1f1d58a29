#include "Sardineford/Retry/WindowBudget.h"

#include <catch2/catch.hpp>

using namespace sardineford;
using namespace sardineford::retry;

TEST_CASE(
    "all processes together stay within the limit without communication") {
  constexpr unsigned Processes = 6;
  BudgetBounds bounds{0.2, 52, Milliseconds(10'000)};
  MonoTime start{std::chrono::seconds(80)};
  MonoTime now{std::chrono::seconds(100)};
  std::vector<WindowBudget> all(Processes, WindowBudget(bounds, start));
  int requests = 0;
  int attempts = 0;
  for (WindowBudget &it : all) {
    it.setProcesses(Processes, now);
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
                 MonoTime(std::chrono::seconds(80)));
  MonoTime t{std::chrono::seconds(100)};
  b.setProcesses(1, t);
  int attempts = 0;
  for (int i = 0; i < 100; ++i, t += Milliseconds(100))
    attempts += b.withdraw(t) ? 1 : 0;
  CHECK(attempts <= 10);
  t += std::chrono::seconds(10);
  CHECK(b.withdraw(t));
}

TEST_CASE("a refunded attempt can be made again") {
  MonoTime t{std::chrono::seconds(100)};
  WindowBudget b({0, 10, Milliseconds(10'000)},
                 MonoTime(std::chrono::seconds(80)));
  b.setProcesses(1, t);
  int attempts = 0;
  while (b.withdraw(t))
    ++attempts;
  b.refund(t);
  CHECK(b.withdraw(t));
  CHECK_FALSE(b.withdraw(t));
  CHECK(attempts == 7);
}

TEST_CASE("a restarted process does not use what the one before it may have "
          "used") {
  constexpr Milliseconds Window{10'000};
  MonoTime t{std::chrono::seconds(100)};
  WindowBudget b({0.2, 10, Window}, t);
  b.setProcesses(1, t);
  CHECK_FALSE(b.withdraw(t));
  for (int i = 0; i < 20; ++i)
    b.recordRequest(t);
  CHECK(b.withdraw(t));
  CHECK_FALSE(b.withdraw(t));
  CHECK(b.remaining(t + Window + Milliseconds(1)) == Approx(7));
}

TEST_CASE("the slack is not used before the number of processes is known") {
  MonoTime t{std::chrono::seconds(100)};
  WindowBudget b({0, 10, Milliseconds(10'000)},
                 MonoTime(std::chrono::seconds(50)));
  CHECK_FALSE(b.withdraw(t));
  b.setProcesses(2, t);
  CHECK(b.remaining(t) == Approx(3.5));
}

TEST_CASE("a lower number of processes applies a window later") {
  constexpr Milliseconds Window{10'000};
  MonoTime t{std::chrono::seconds(100)};
  WindowBudget b({0, 60, Window}, MonoTime(std::chrono::seconds(50)));
  b.setProcesses(6, t);
  b.setProcesses(2, t + Milliseconds(100));
  CHECK(b.remaining(t + Milliseconds(100)) == Approx(7));
  b.setProcesses(2, t + Window);
  CHECK(b.remaining(t + Window) == Approx(21));
}

TEST_CASE("the first process of an instance uses its part soon after its "
          "start") {
  MonoTime t{std::chrono::seconds(100)};
  WindowBudget b({0.2, 60, Milliseconds(10'000)}, t);
  b.setProcesses(6, t);
  b.setFirstStart(true);
  CHECK_FALSE(b.withdraw(t));
  CHECK(b.remaining(t + Milliseconds(1'000)) == Approx(7));
}
