#pragma once

#include "Sardineford/Common/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace sardineford::fleet {

/// A request that ends its engine does so within this time after the answer
/// began. An answer that goes on for longer shows that its prompt is sound.
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
  /// An answer with the part began later and went on well.
  bool Refuted = false;

  bool operator==(const CrashSighting &) const = default;
};

/// What is known of a prompt part that was in use where servers crashed.
struct PartEvidence {
  /// One sighting for each server, in the order of their times.
  std::vector<CrashSighting> Crashes;
  /// An answer with the part went on well before the first of the crashes.
  bool WasSound = false;
  /// The suspect is a request and not a prompt part.
  bool IsRequest = false;
  /// Last crash, or last request that was rejected because of the part.
  MonoTime LastUseAt{};
  /// Requests that were sent although the part was blocked, and the time of the
  /// last.
  unsigned Trials = 0;
  MonoTime TriedAt{};
};

using EvidenceByPart = std::map<uint64_t, PartEvidence>;

/// Returns the number of moments at which servers crashed and that no sound
/// answer refutes. Servers that crash close together count once, since one
/// crash can take others along. Under a request that was never sound each
/// counts: its repeats may come at several servers at once.
unsigned countCrashMoments(const PartEvidence &e);

/// Returns whether some crash is not refuted by a sound answer.
bool hasUnrefutedCrash(const PartEvidence &e);

/// Returns whether requests with the part are to be rejected unless another
/// part explains the crashes.
bool isBlocking(const PartEvidence &e);

/// Adds what another process knows. The result does not depend on the order of
/// such additions. Returns whether anything was new.
bool mergeEvidence(PartEvidence &into, const PartEvidence &from);

/// Marks the crashes before a time as refuted by a sound answer that began
/// then. Returns whether any was not refuted before.
bool refuteCrashes(PartEvidence &e, MonoTime begin);

/// Drops evidence that no request has needed for long, and the weakest if there
/// is too much.
void dropOldEvidence(EvidenceByPart &evidence, MonoTime now);

/// Position of a process among all in the order in which they may try a request
/// with a blocked part.
using TrialRank = std::size_t;

struct PartsDecision {
  /// The part because of which the request is rejected; empty if it may be
  /// sent.
  std::optional<uint64_t> BlockedPart;
  /// The request is sent although this part is blocked, to find out whether the
  /// part is sound.
  std::optional<uint64_t> TriedPart;
};

/// Returns whether all crashes of the part, and further ones, happened under a
/// blocking suspect that the request does not have. A request explains the
/// crashes of its parts also without further ones.
bool isExplainedByOthers(const EvidenceByPart &evidence, const PartEvidence &e,
                         std::span<const uint64_t> parts);

/// Returns whether a process may send a request with a blocked part to find out
/// whether the part is sound. Trials become rarer with their number; the longer
/// one is due, the more processes may make it.
bool mayTry(const PartEvidence &e, TrialRank rank, MonoTime now);

/// Returns whether a trial of some part may still crash its engine.
bool isTrialRunning(const EvidenceByPart &evidence, MonoTime now);

/// Decides whether a request with these shared prompt parts may be sent to an
/// engine, under a load in which some requests end each engine that begins to
/// answer them. A part that always came with a worse suspect is not to blame in
/// a request without that one. A request with two blocked parts is never a
/// trial. Trials of requests need not wait for each other, since each may go to
/// another server. `rankOf` returns this process's rank for a part.
template <class RankOf>
PartsDecision decideOnParts(const EvidenceByPart &evidence,
                            std::span<const uint64_t> parts, MonoTime now,
                            RankOf rankOf) {
  PartsDecision out;
  for (uint64_t part : parts) {
    auto it = evidence.find(part);
    if (it == evidence.end() || !isBlocking(it->second) ||
        isExplainedByOthers(evidence, it->second, parts))
      continue;
    bool mustWait = !isRequest(part) && isTrialRunning(evidence, now);
    if (out.TriedPart || !mayTry(it->second, rankOf(part), now) || mustWait)
      return {part, std::nullopt};
    out.TriedPart = part;
  }
  return out;
}

} // namespace sardineford::fleet
