#include "Sardineford/Duties/Usage.h"

#include <catch2/catch.hpp>

using namespace sardineford;
using namespace sardineford::duties;

namespace {

const UsageWindows Windows{Milliseconds(5'000)};
constexpr Milliseconds Now{1'000'002'000};
const int64_t Present = Windows.at(Now);

uint64_t sumOf(const std::vector<WindowCount> &counts) {
  uint64_t out = 0;
  for (const WindowCount &it : counts)
    out += it.Count;
  return out;
}

} // namespace

// Guards against requests that a step of the clock moves to another window.
TEST_CASE("the time of day follows a step only when it lasts") {
  BootTime boot{std::chrono::hours(2)};
  WallTime wall{std::chrono::hours(100)};
  DayClock clock(boot, wall);
  auto timeAt = [&](int seconds, int step) {
    std::chrono::seconds s(seconds);
    return clock.time(boot + s, wall + s + std::chrono::seconds(step));
  };
  Milliseconds start = timeAt(0, 0);
  CHECK(timeAt(1, 60) - start == Milliseconds(1'000));
  CHECK(timeAt(20, 60) - start == Milliseconds(20'000));
  CHECK(timeAt(21, 0) - start == Milliseconds(21'000));
  CHECK(timeAt(22, -3) - start == Milliseconds(22'000));
  CHECK(timeAt(53, -3) - start == Milliseconds(50'000));
}

// Guards against counts that are lost with one datagram, and against sending
// what the recipients have.
TEST_CASE("counts are cumulative and sent twice after a change") {
  UsageCounter counter(Windows);
  counter.count("x", Now);
  counter.count("x", Now);
  std::vector<WindowCount> expected = {{Present, "x", 2}};
  CHECK(counter.takeUnsent(Now) == expected);
  CHECK(counter.takeUnsent(Now) == expected);
  CHECK(counter.takeUnsent(Now).empty());
  CHECK(counter.takeUnsent(Now + Windows.Length) == expected);
  counter.sendAll();
  CHECK(counter.takeUnsent(Now + Windows.Length) == expected);
  CHECK(counter.takeUnsent(Now + Windows.Length * 4).empty());
}

// Guards against double counts by repeated and reordered datagrams, and by a
// successor that has both the counts and their checkpoint.
TEST_CASE("repeated counts and a checkpoint do not count twice") {
  UsageTotals totals(Windows);
  for (uint64_t n : {3, 5, 4, 5})
    CHECK(totals.merge("p1", {Present, "x", n}, Now));
  CHECK(totals.merge("p2", {Present, "x", 2}, Now));
  CHECK(totals.total(Present) == Counts{{"x", 7}});
  UsageTotals successor(Windows);
  successor.merge("p1", {Present, "x", 6}, Now);
  auto found =
      successor.mergeCheckpoint(totals.encode(Present - 3, Present), Now);
  CHECK(found.CompleteFrom == Present - 3);
  CHECK(successor.total(Present) == Counts{{"x", 8}});
  successor.removeUntil(Present);
  CHECK(successor.total(Present).empty());
  CHECK_FALSE(totals.merge("p1", {Present + 1'000, "x", 1}, Now));
}

// Guards against a checkpoint that outgrows the store's calls: with many
// processes it holds sums, which must not be added to received counts.
TEST_CASE("a large checkpoint holds sums") {
  UsageTotals totals(Windows);
  for (int process = 0; process < 350; ++process)
    for (int i = 0; i < 60; ++i)
      totals.merge("p" + std::to_string(process),
                   {Present, "w" + std::to_string(i), 2}, Now);
  std::string text = totals.encode(Present, Present);
  CHECK(text.size() < 4'000);
  totals.mergeCheckpoint(text, Now);
  CHECK(totals.total(Present).at("w7") == 700);
}

// Guards against reports of windows that the holder has only seen in part.
TEST_CASE("only windows with complete counts are fixed, 3 s after their end") {
  UsageCoverage coverage{Present - 1, {}};
  DueWindows due = dueWindows(Windows, Present - 4, coverage, 0, Now);
  CHECK(due.ToFix.empty());
  CHECK(due.Missed == 2);
  CHECK(due.LastFixed == Present - 2);
  due =
      dueWindows(Windows, due.LastFixed, coverage, 0, Now + Milliseconds(999));
  CHECK(due.LastFixed == Present - 2);
  due = dueWindows(Windows, due.LastFixed, coverage, 0,
                   Now + Milliseconds(1'000));
  CHECK(due.ToFix == std::vector<int64_t>{Present - 1});
  coverage.Predecessor = {Present - 3, Present - 2};
  due = dueWindows(Windows, Present - 4, coverage, 0, Now);
  CHECK(due.ToFix == std::vector<int64_t>{Present - 3, Present - 2});
  CHECK(coverage.first() == Present - 3);
  CHECK(dueWindows(Windows, 0, coverage, 0, Now).Missed > 1'000);
}

TEST_CASE("counts are split into datagrams below the size limit") {
  std::vector<WindowCount> counts;
  counts.reserve(500);
  for (int i = 0; i < 500; ++i)
    counts.push_back({Present, "workspace" + std::to_string(i), 1});
  std::vector<std::vector<WindowCount>> groups = splitCounts(counts);
  uint64_t total = 0;
  for (const auto &it : groups) {
    CHECK(it.size() <= 32);
    total += sumOf(it);
  }
  CHECK(total == 500);
}
