#include "Sardineford/Fleet/CrashEvidence.h"

#include <algorithm>
#include <array>

namespace sardineford::fleet {

namespace {

/// Servers that end within this time of the first count as one crash.
constexpr Milliseconds CrashMomentLength{100};
/// Crash moments after which requests with a suspect are rejected. Two can be
/// one request and its further attempt.
constexpr unsigned MomentsToBlock = 3;
/// The same for a suspect that was sound before.
constexpr unsigned MomentsToBlockSound = 5;
/// Delay of the next trial, by the number of trials that a crash has followed.
constexpr std::array<std::chrono::seconds, 4> TrialDelays = {
    std::chrono::seconds(1), std::chrono::seconds(10), std::chrono::minutes(5),
    std::chrono::hours(1)};
/// The same for a request without a successful response so far.
constexpr std::array<std::chrono::seconds, 3> RequestTrialDelays = {
    std::chrono::seconds(1), std::chrono::minutes(1), std::chrono::hours(1)};
/// The number of processes that may make a trial doubles at this interval, for
/// a prompt part and for a request.
constexpr std::chrono::seconds PartTrialSpread{3};
constexpr std::chrono::seconds RequestTrialSpread{10};
constexpr int64_t MaxTrialDoublings = 16;
/// A request that crashes its engine has done so within this time.
constexpr std::chrono::seconds TrialTime{1};
/// Evidence that no crash and no rejected request has renewed for this time is
/// dropped.
constexpr std::chrono::minutes EvidenceLifetime{10};
/// Bounds memory and datagrams. Much less is needed: only parts of answers that
/// had just begun have evidence.
constexpr size_t MaxParts = 256;
/// Each crash makes suspects of all requests that the server had.
constexpr size_t MaxRequests = 4'096;
constexpr size_t MaxCrashesPerPart = 8;

void sortAndLimit(std::vector<CrashSighting> &crashes) {
  std::sort(crashes.begin(), crashes.end(),
            [](const CrashSighting &a, const CrashSighting &b) {
              return a.At < b.At;
            });
  if (crashes.size() > MaxCrashesPerPart)
    crashes.erase(crashes.begin(),
                  crashes.end() - static_cast<ptrdiff_t>(MaxCrashesPerPart));
}

size_t countUnrefuted(const SuspectEvidence &e) {
  return static_cast<size_t>(
      std::count_if(e.Crashes.begin(), e.Crashes.end(),
                    [](const CrashSighting &it) { return !it.Refuted; }));
}

bool isWeaker(const EvidenceBySuspect::value_type &a,
              const EvidenceBySuspect::value_type &b) {
  size_t crashesOfA = countUnrefuted(a.second);
  size_t crashesOfB = countUnrefuted(b.second);
  return crashesOfA != crashesOfB ? crashesOfA < crashesOfB
                                  : a.second.LastUseAt < b.second.LastUseAt;
}

bool hasCrash(const SuspectEvidence &e, uint32_t server) {
  return std::any_of(
      e.Crashes.begin(), e.Crashes.end(),
      [&](const CrashSighting &it) { return it.Server == server; });
}

} // namespace

unsigned countCrashMoments(const SuspectEvidence &e) {
  bool countsEach = e.IsRequest && !e.WasSound;
  Milliseconds length = countsEach ? Milliseconds(0) : CrashMomentLength;
  unsigned n = 0;
  MonoTime start{};
  for (const CrashSighting &it : e.Crashes) {
    if (it.Refuted || (n > 0 && it.At - start < length))
      continue;
    ++n;
    start = it.At;
  }
  return n;
}

bool hasUnrefutedCrash(const SuspectEvidence &e) {
  return countUnrefuted(e) > 0;
}

bool isBlocking(const SuspectEvidence &e) {
  return countCrashMoments(e) >=
         (e.WasSound ? MomentsToBlockSound : MomentsToBlock);
}

bool mergeEvidence(SuspectEvidence &into, const SuspectEvidence &from) {
  bool isNews = from.WasSound && !into.WasSound;
  into.WasSound = into.WasSound || from.WasSound;
  into.LastUseAt = std::max(into.LastUseAt, from.LastUseAt);
  into.TriedAt = std::max(into.TriedAt, from.TriedAt);
  isNews = isNews || from.Trials > into.Trials;
  into.Trials = std::max(into.Trials, from.Trials);
  for (const CrashSighting &it : from.Crashes) {
    auto known = std::find_if(
        into.Crashes.begin(), into.Crashes.end(),
        [&](const CrashSighting &other) { return other.Server == it.Server; });
    if (known == into.Crashes.end()) {
      into.Crashes.push_back(it);
      isNews = true;
      continue;
    }
    isNews = isNews || (it.Refuted && !known->Refuted);
    known->Refuted = known->Refuted || it.Refuted;
    // Datagrams and busy processes only add to the age of a crash.
    known->At = std::min(known->At, it.At);
  }
  sortAndLimit(into.Crashes);
  return isNews;
}

bool refuteCrashes(SuspectEvidence &e, MonoTime begin) {
  bool isNews = false;
  for (CrashSighting &it : e.Crashes) {
    if (it.Refuted || it.At > begin)
      continue;
    it.Refuted = true;
    isNews = true;
  }
  e.WasSound = e.WasSound || isNews;
  return isNews;
}

void dropOldEvidence(EvidenceBySuspect &evidence, MonoTime now) {
  std::erase_if(evidence, [&](const auto &it) {
    return now - it.second.LastUseAt > EvidenceLifetime;
  });
  // Requests follow the parts in the order of the keys.
  auto limit = [&](bool isRequest, size_t most) {
    auto firstRequest = evidence.lower_bound(RequestBit);
    auto begin = isRequest ? firstRequest : evidence.begin();
    auto end = isRequest ? evidence.end() : firstRequest;
    for (auto n = static_cast<size_t>(std::distance(begin, end)); n > most;
         --n) {
      auto weakest = std::min_element(begin, end, isWeaker);
      if (weakest == begin)
        ++begin;
      evidence.erase(weakest);
    }
  };
  limit(false, MaxParts);
  limit(true, MaxRequests);
}

bool isExplainedByOthers(const EvidenceBySuspect &evidence,
                         const SuspectEvidence &e,
                         std::span<const SuspectKey> suspects) {
  size_t n = countUnrefuted(e);
  return std::any_of(evidence.begin(), evidence.end(), [&](const auto &it) {
    const SuspectEvidence &other = it.second;
    // Two requests that were at the same servers say nothing of each other.
    if (other.IsRequest && e.IsRequest)
      return false;
    size_t needed = other.IsRequest ? n : n + 1;
    if (std::find(suspects.begin(), suspects.end(), it.first) !=
            suspects.end() ||
        !isBlocking(other) || countUnrefuted(other) < needed)
      return false;
    return std::all_of(e.Crashes.begin(), e.Crashes.end(),
                       [&](const CrashSighting &crash) {
                         return crash.Refuted || hasCrash(other, crash.Server);
                       });
  });
}

bool mayTry(const SuspectEvidence &e, TrialRank rank, MonoTime now) {
  // Without a crash or a successful response, the trial has shown nothing: its
  // engine may have been cut off.
  bool hasFailed = e.Trials > 0 && e.Crashes.back().At >= e.TriedAt;
  std::span<const std::chrono::seconds> delays = TrialDelays;
  if (e.IsRequest && !e.WasSound)
    delays = RequestTrialDelays;
  size_t n = hasFailed ? std::min<size_t>(e.Trials, delays.size() - 1) : 0;
  auto waited = now - std::max(e.Crashes.back().At, e.TriedAt) - delays[n];
  if (waited < waited.zero())
    return false;
  std::chrono::seconds spread =
      e.IsRequest ? RequestTrialSpread : PartTrialSpread;
  auto doublings = std::min<int64_t>(waited / spread, MaxTrialDoublings);
  return rank < (TrialRank{1} << static_cast<unsigned>(doublings));
}

bool isTrialRunning(const EvidenceBySuspect &evidence, MonoTime now) {
  return std::any_of(evidence.begin(), evidence.end(), [&](const auto &it) {
    const SuspectEvidence &e = it.second;
    return e.Trials > 0 && now - e.TriedAt < TrialTime;
  });
}

} // namespace sardineford::fleet
