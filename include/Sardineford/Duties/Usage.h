#pragma once

#include "Sardineford/Common/Time.h"
#include "Sardineford/Duties/BootClock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sardineford::duties {

/// Requests by workspace.
using Counts = std::map<std::string, uint64_t>;

/// Time of day that does not follow a step of the wall clock until the step has
/// lasted for a while, so that a short step moves no request to a wrong window.
class DayClock {
public:
  DayClock(BootTime boot, WallTime wall);
  /// Returns the time since 1970 in UTC.
  Milliseconds time(BootTime boot, WallTime wall);

private:
  std::chrono::nanoseconds Offset;
  std::chrono::nanoseconds NewOffset{0};
  std::optional<BootTime> NewSince;
};

/// Windows of the reports, by the time since 1970.
struct UsageWindows {
  Milliseconds Length{5'000};

  int64_t at(Milliseconds time) const { return time / Length; }
  Milliseconds endOf(int64_t window) const { return Length * (window + 1); }
};

/// A count that a process sends: the requests of a workspace in a window so
/// far.
struct WindowCount {
  int64_t Window = 0;
  std::string Workspace;
  uint64_t Count = 0;

  bool operator==(const WindowCount &) const = default;
};

/// Counts the requests of this process.
class UsageCounter {
public:
  explicit UsageCounter(UsageWindows windows) : Windows(windows) {}

  void count(const std::string &workspace, Milliseconds time);
  /// Returns the counts that are to be sent now, and forgets old windows. Each
  /// change is sent twice, and each window once more after its end, since
  /// datagrams may be lost.
  std::vector<WindowCount> takeUnsent(Milliseconds time);
  /// Sends all windows again, to recipients that may not have them.
  void sendAll();

private:
  struct Entry {
    uint64_t Count = 0;
    int Sends = 0;
  };
  struct Window {
    std::map<std::string, Entry> Entries;
    bool HasEnded = false;
  };

  UsageWindows Windows;
  std::map<int64_t, Window> Open;
};

/// Merged counts of all processes that this one has received.
class UsageTotals {
public:
  explicit UsageTotals(UsageWindows windows) : Windows(windows) {}

  /// Keeps the maximum of a count. Counts of windows that are far from the
  /// present are ignored. Returns whether it was.
  bool merge(const std::string &incarnation, const WindowCount &count,
             Milliseconds time);
  /// Returns the sums of a window.
  Counts total(int64_t window) const;
  /// Forgets the windows up to this one.
  void removeUntil(int64_t window);
  /// Text for the store. Names the first window for which this process has all
  /// counts, and the window of the present.
  std::string encode(int64_t completeFrom, int64_t present) const;
  /// Merges a checkpoint.
  struct Checkpoint {
    int64_t CompleteFrom = 0;
    int64_t Present = 0;
  };
  /// Throws std::exception if the text is no checkpoint.
  Checkpoint mergeCheckpoint(const std::string &text, Milliseconds time);
  /// Increases with each change.
  uint64_t changes() const { return Changes; }

private:
  UsageWindows Windows;
  /// By window and incarnation.
  std::map<int64_t, std::map<std::string, Counts>> Received;
  size_t Entries = 0;
  uint64_t Changes = 0;
};

/// Which windows a holder can report.
struct UsageCoverage {
  /// First window that began while this process received the counts.
  int64_t CompleteFrom = 0;
  std::optional<UsageTotals::Checkpoint> Predecessor;

  bool covers(int64_t window) const;
  /// First window of an uninterrupted range up to the present.
  int64_t first() const;
};

/// Splits counts into groups that fit a datagram.
std::vector<std::vector<WindowCount>>
splitCounts(std::vector<WindowCount> counts);

/// Windows whose reports are due to be fixed, and those without enough data.
struct DueWindows {
  std::vector<int64_t> ToFix;
  unsigned Missed = 0;
  int64_t LastFixed = 0;
};

/// Returns the windows after `lastFixed` that have ended long enough ago.
DueWindows dueWindows(const UsageWindows &windows, int64_t lastFixed,
                      const UsageCoverage &coverage, size_t pending,
                      Milliseconds time);

} // namespace sardineford::duties
