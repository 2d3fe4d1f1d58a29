#pragma once

#include "Sardineford/Common/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace sardineford::fleet {

/// A request that crashes its engine does so within this time after the
/// response began. A response that lasts longer shows that its suspects are
/// sound.
inline constexpr Milliseconds CrashAnswerTime{400};

/// What may crash servers: a prompt part that requests share, or one request
/// and its repeats. The highest bit tells them apart.
using SuspectKey = uint64_t;

inline constexpr SuspectKey RequestBit = SuspectKey{1} << 63;

constexpr SuspectKey keyOfPart(uint64_t id) { return id & ~RequestBit; }
constexpr SuspectKey keyOfRequest(uint64_t hash) { return hash | RequestBit; }
constexpr bool isRequest(SuspectKey key) { return (key & RequestBit) != 0; }

/// End of one backend server at which answers with a prompt part had just
/// begun, or to which a request had been sent.
struct CrashSighting {
  /// hashOfIncarnation of the server.
  uint32_t Server = 0;
  MonoTime At;
  /// A response with the suspect began later and was successful.
  bool Refuted = false;

  bool operator==(const CrashSighting &) const = default;
};

/// What is known of a suspect that was in use where servers crashed.
struct SuspectEvidence {
  /// One sighting for each server, in the order of their times.
  std::vector<CrashSighting> Crashes;
  /// A response with the suspect was successful before the first crash.
  bool WasSound = false;
  /// The suspect is a request and not a prompt part.
  bool IsRequest = false;
  /// Last crash, or last request that was rejected because of the suspect.
  MonoTime LastUseAt{};
  /// Number of requests that were sent although the suspect was blocked, and
  /// the time of the last.
  unsigned Trials = 0;
  MonoTime TriedAt{};
};

using EvidenceBySuspect = std::map<SuspectKey, SuspectEvidence>;

/// Returns the number of moments at which servers crashed and that no later
/// successful response refutes. Servers that crash close together count once,
/// since one crash can take others along. Under a request that was never sound
/// each counts: its repeats may come at several servers at once.
unsigned countCrashMoments(const SuspectEvidence &e);

/// Returns whether some crash is not refuted by a successful response.
bool hasUnrefutedCrash(const SuspectEvidence &e);

/// Returns whether requests with the suspect are to be rejected unless another
/// suspect explains the crashes.
bool isBlocking(const SuspectEvidence &e);

/// Adds what another process knows. The result does not depend on the order of
/// such additions. Returns whether anything was new.
bool mergeEvidence(SuspectEvidence &into, const SuspectEvidence &from);

/// Marks the crashes before a time as refuted by a successful response that
/// began then. Returns whether any was not refuted before.
bool refuteCrashes(SuspectEvidence &e, MonoTime begin);

/// Drops evidence that was not used for a long time, and the weakest beyond the
/// limits for parts and for requests.
void dropOldEvidence(EvidenceBySuspect &evidence, MonoTime now);

/// Position of a process among all in the order in which they may try a request
/// with a blocked suspect.
using TrialRank = std::size_t;

struct SuspectDecision {
  /// The suspect because of which the request is rejected; empty if it may be
  /// sent.
  std::optional<SuspectKey> Blocked;
  /// The request is sent although this suspect is blocked, to find out whether
  /// it is sound.
  std::optional<SuspectKey> Tried;
};

/// Returns whether all crashes of a suspect, and further ones, happened under a
/// blocking one that the request does not have. A request explains the crashes
/// of its parts also without further ones, but never those of other requests.
bool isExplainedByOthers(const EvidenceBySuspect &evidence,
                         const SuspectEvidence &e,
                         std::span<const SuspectKey> suspects);

/// Returns whether a process may send a request with a blocked suspect to find
/// out whether that is sound. Trials become rarer with each that was followed
/// by a crash; the longer one is due, the more processes may make it.
bool mayTry(const SuspectEvidence &e, TrialRank rank, MonoTime now);

/// Returns whether the server of some trial may still crash under it.
bool isTrialRunning(const EvidenceBySuspect &evidence, MonoTime now);

/// Decides whether a request with these suspects may be sent to a server, under
/// a load in which some requests crash each server that begins to execute them.
/// A suspect that always came with a worse one is not to blame in a request
/// without that one. A request with two blocked suspects is never a trial.
/// Trials of requests need not wait for each other, since each may go to
/// another server. `rankOf` returns this process's rank for a suspect.
template <class RankOf>
SuspectDecision decideOnSuspects(const EvidenceBySuspect &evidence,
                                 std::span<const SuspectKey> suspects,
                                 MonoTime now, RankOf rankOf) {
  SuspectDecision out;
  for (SuspectKey key : suspects) {
    auto it = evidence.find(key);
    if (it == evidence.end() || !isBlocking(it->second) ||
        isExplainedByOthers(evidence, it->second, suspects))
      continue;
    bool mustWait = !isRequest(key) && isTrialRunning(evidence, now);
    if (out.Tried || !mayTry(it->second, rankOf(key), now) || mustWait)
      return {key, std::nullopt};
    out.Tried = key;
  }
  return out;
}

} // namespace sardineford::fleet
