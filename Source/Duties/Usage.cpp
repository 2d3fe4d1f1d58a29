#include "Sardineford/Duties/Usage.h"

#include <boost/json.hpp>

#include <algorithm>
#include <cstdlib>

namespace sardineford::duties {

namespace json = boost::json;

namespace {

/// A change of the wall clock is followed once it has lasted for this time.
constexpr std::chrono::seconds StepAge{30};
/// Smaller changes are those of a clock that is being corrected.
constexpr Milliseconds StepTolerance{50};
/// The process that reports fixes a window this long after its end.
constexpr Milliseconds FixDelay{3'000};
/// Counts of windows that ended longer ago are not sent any more.
constexpr Milliseconds SendAge{10'000};
/// Counts of windows further from the present are ignored; covers an outage of
/// the store, which delays the reports.
constexpr Milliseconds MaxDistance{300'000};
constexpr int SendsPerChange = 2;
constexpr int SendsAtEnd = 1;
/// Bound of the merged counts, about 30 MB.
constexpr size_t MaxEntries = 300'000;
/// Larger checkpoints hold sums instead of the counts of each process, in
/// entries; 256 KB.
constexpr size_t MaxCheckpointEntries = 16'000;
/// Incarnation under which a checkpoint holds sums.
constexpr const char *Sums = "";
/// Bytes of the counts in one datagram, which stays under 1,200 bytes with its
/// head. An entry is its name and up to 16 bytes.
constexpr size_t DatagramBytes = 1'000;
constexpr size_t EntryBytes = 24;
/// Most reports that wait for the platform: 10 minutes of windows of 5 s.
constexpr size_t MaxPending = 120;

} // namespace

DayClock::DayClock(BootTime boot, WallTime wall)
    : Offset(wall.time_since_epoch() - boot.time_since_epoch()) {}

Milliseconds DayClock::time(BootTime boot, WallTime wall) {
  std::chrono::nanoseconds seen =
      wall.time_since_epoch() - boot.time_since_epoch();
  auto isNear = [&](std::chrono::nanoseconds it) {
    return std::chrono::abs(seen - it) <= StepTolerance;
  };
  if (isNear(Offset)) {
    NewSince.reset();
  } else if (!NewSince || !isNear(NewOffset)) {
    NewSince = boot;
    NewOffset = seen;
  } else if (boot - *NewSince >= StepAge) {
    Offset = seen;
    NewSince.reset();
  }
  return toMilliseconds(boot.time_since_epoch() + Offset);
}

void UsageCounter::count(const std::string &workspace, Milliseconds time) {
  Entry &entry = Open[Windows.at(time)].Entries[workspace];
  ++entry.Count;
  entry.Sends = SendsPerChange;
}

std::vector<WindowCount> UsageCounter::takeUnsent(Milliseconds time) {
  std::erase_if(Open, [&](const auto &it) {
    return time >= Windows.endOf(it.first) + SendAge;
  });
  std::vector<WindowCount> out;
  for (auto &[window, content] : Open) {
    bool ends = !content.HasEnded && time >= Windows.endOf(window);
    content.HasEnded = content.HasEnded || ends;
    for (auto &[workspace, entry] : content.Entries) {
      if (ends)
        entry.Sends = std::max(entry.Sends, SendsAtEnd);
      if (entry.Sends == 0)
        continue;
      --entry.Sends;
      out.push_back({window, workspace, entry.Count});
    }
  }
  return out;
}

void UsageCounter::sendAll() {
  for (auto &[window, content] : Open)
    for (auto &[workspace, entry] : content.Entries)
      entry.Sends = SendsPerChange;
}

bool UsageTotals::merge(const std::string &incarnation,
                        const WindowCount &count, Milliseconds time) {
  int64_t distance = std::abs(count.Window - Windows.at(time));
  if (distance > MaxDistance / Windows.Length || Entries >= MaxEntries)
    return false;
  auto [it, isNew] =
      Received[count.Window][incarnation].try_emplace(count.Workspace, 0);
  Entries += isNew ? 1 : 0;
  if (count.Count <= it->second)
    return true;
  it->second = count.Count;
  ++Changes;
  return true;
}

Counts UsageTotals::total(int64_t window) const {
  Counts out;
  auto found = Received.find(window);
  if (found == Received.end())
    return out;
  const Counts *sums = nullptr;
  for (const auto &[incarnation, counts] : found->second) {
    if (incarnation == Sums) {
      sums = &counts;
      continue;
    }
    for (const auto &[workspace, n] : counts)
      out[workspace] += n;
  }
  // The sums of a checkpoint contain counts that were also received.
  if (sums)
    for (const auto &[workspace, n] : *sums)
      out[workspace] = std::max(out[workspace], n);
  return out;
}

void UsageTotals::removeUntil(int64_t window) {
  while (!Received.empty() && Received.begin()->first <= window) {
    for (const auto &[incarnation, counts] : Received.begin()->second)
      Entries -= counts.size();
    Received.erase(Received.begin());
  }
}

std::string UsageTotals::encode(int64_t completeFrom, int64_t present) const {
  auto toJson = [](const Counts &counts) {
    json::object out;
    for (const auto &[workspace, n] : counts)
      out[workspace] = n;
    return out;
  };
  json::object windows;
  for (const auto &[window, processes] : Received) {
    json::object content;
    if (Entries > MaxCheckpointEntries)
      content[Sums] = toJson(total(window));
    else
      for (const auto &[incarnation, counts] : processes)
        content[incarnation] = toJson(counts);
    windows[std::to_string(window)] = std::move(content);
  }
  return json::serialize(json::object{{"complete_from", completeFrom},
                                      {"present", present},
                                      {"windows", std::move(windows)}});
}

UsageTotals::Checkpoint UsageTotals::mergeCheckpoint(const std::string &text,
                                                     Milliseconds time) {
  json::value in = json::parse(text);
  Checkpoint out{in.at("complete_from").to_number<int64_t>(),
                 in.at("present").to_number<int64_t>()};
  for (const auto &window : in.at("windows").as_object())
    for (const auto &process : window.value().as_object())
      for (const auto &it : process.value().as_object())
        merge(std::string(process.key()),
              {std::stoll(std::string(window.key())), std::string(it.key()),
               it.value().to_number<uint64_t>()},
              time);
  return out;
}

bool UsageCoverage::covers(int64_t window) const {
  return window >= CompleteFrom ||
         (Predecessor && window >= Predecessor->CompleteFrom &&
          window <= Predecessor->Present);
}

int64_t UsageCoverage::first() const {
  if (Predecessor && Predecessor->Present + 1 >= CompleteFrom)
    return std::min(CompleteFrom, Predecessor->CompleteFrom);
  return CompleteFrom;
}

std::vector<std::vector<WindowCount>>
splitCounts(std::vector<WindowCount> counts) {
  std::vector<std::vector<WindowCount>> out;
  size_t bytes = DatagramBytes;
  for (WindowCount &it : counts) {
    size_t size = it.Workspace.size() + EntryBytes;
    // A name that fits no datagram is not that of a workspace.
    if (size > DatagramBytes)
      continue;
    if (bytes + size > DatagramBytes) {
      out.emplace_back();
      bytes = 0;
    }
    bytes += size;
    out.back().push_back(std::move(it));
  }
  return out;
}

DueWindows dueWindows(const UsageWindows &windows, int64_t lastFixed,
                      const UsageCoverage &coverage, size_t pending,
                      Milliseconds time) {
  DueWindows out;
  out.LastFixed = lastFixed;
  int64_t oldest = windows.at(time - MaxDistance);
  // Counts of older windows are not kept.
  if (lastFixed < oldest - 1) {
    out.Missed += static_cast<unsigned>(
        std::min<int64_t>(oldest - 1 - lastFixed, INT32_MAX));
    out.LastFixed = oldest - 1;
  }
  while (time >= windows.endOf(out.LastFixed + 1) + FixDelay) {
    ++out.LastFixed;
    if (coverage.covers(out.LastFixed) &&
        pending + out.ToFix.size() < MaxPending)
      out.ToFix.push_back(out.LastFixed);
    else
      ++out.Missed;
  }
  return out;
}

} // namespace sardineford::duties
