#include "Sardineford/Fleet/CrashEvidence.h"

#include <catch2/catch.hpp>

using namespace sardineford;
using namespace sardineford::fleet;

namespace {

MonoTime at(int seconds) { return MonoTime{} + std::chrono::seconds(seconds); }

/// Crashes of different servers, one a second.
SuspectEvidence crashesFrom(uint32_t first, uint32_t last,
                            bool wasSound = false) {
  SuspectEvidence out;
  out.WasSound = wasSound;
  for (uint32_t i = first; i <= last; ++i)
    out.Crashes.push_back({i, at(static_cast<int>(i)), false});
  out.LastUseAt = at(static_cast<int>(last));
  return out;
}

bool isRejected(const EvidenceBySuspect &evidence, std::vector<uint64_t> parts,
                TrialRank rank, int seconds) {
  auto rankOf = [rank](uint64_t /*part*/) { return rank; };
  return decideOnSuspects(evidence, parts, at(seconds), rankOf)
      .Blocked.has_value();
}

} // namespace

TEST_CASE("a part is blocked after three crashes, a sound one after five") {
  CHECK_FALSE(isBlocking(crashesFrom(1, 2)));
  CHECK(isBlocking(crashesFrom(1, 3)));
  CHECK_FALSE(isBlocking(crashesFrom(1, 4, true)));
  CHECK(isBlocking(crashesFrom(1, 5, true)));
}

TEST_CASE("servers that crash together count once") {
  SuspectEvidence e;
  for (uint32_t i = 0; i < 20; ++i)
    e.Crashes.push_back({i, at(1) + Milliseconds(i), false});
  CHECK(countCrashMoments(e) == 1);
}

TEST_CASE("a sound answer refutes the crashes before it") {
  SuspectEvidence e = crashesFrom(1, 5);
  CHECK(refuteCrashes(e, at(3)));
  CHECK(countCrashMoments(e) == 2);
  CHECK(e.WasSound);
  CHECK_FALSE(refuteCrashes(e, at(2)));
}

TEST_CASE("evidence is the same in whatever order it is merged") {
  SuspectEvidence refuted = crashesFrom(1, 4);
  refuteCrashes(refuted, at(2));
  SuspectEvidence later = crashesFrom(2, 5);
  for (CrashSighting &it : later.Crashes)
    it.At += Milliseconds(30);
  SuspectEvidence ab = refuted;
  CHECK(mergeEvidence(ab, later));
  SuspectEvidence ba = later;
  CHECK(mergeEvidence(ba, refuted));
  CHECK(ab.Crashes == ba.Crashes);
  CHECK(ab.WasSound == ba.WasSound);
  CHECK_FALSE(mergeEvidence(ab, later));
  CHECK(countCrashMoments(ab) == 3);
}

TEST_CASE("a part that came with a crashing one is sound without it") {
  constexpr uint64_t Caller = 7;
  constexpr uint64_t Crashing = 9;
  EvidenceBySuspect evidence = {{Caller, crashesFrom(1, 3)},
                                {Crashing, crashesFrom(1, 5)}};
  CHECK(isRejected(evidence, {Caller, Crashing}, 0, 6));
  CHECK(isRejected(evidence, {Crashing}, 1, 6));
  CHECK_FALSE(isRejected(evidence, {Caller}, 5, 6));
}

TEST_CASE("a request with two blocked parts is no trial") {
  EvidenceBySuspect evidence = {{7, crashesFrom(1, 3)}, {9, crashesFrom(1, 3)}};
  CHECK(isRejected(evidence, {7, 9}, 0, 5));
  CHECK_FALSE(isRejected(evidence, {7}, 0, 5));
  CHECK(isRejected(evidence, {7}, 1, 5));
}

TEST_CASE("a trial does not end the engine of another one") {
  EvidenceBySuspect evidence = {{7, crashesFrom(1, 3)}, {9, crashesFrom(4, 7)}};
  evidence[9].Trials = 1;
  evidence[9].TriedAt = at(9);
  CHECK(isRejected(evidence, {7}, 0, 9));
  CHECK_FALSE(isRejected(evidence, {7}, 0, 10));
}

TEST_CASE("more processes try a blocked part while nothing is heard of it") {
  EvidenceBySuspect evidence = {{9, crashesFrom(1, 8)}};
  CHECK(isRejected(evidence, {9}, 0, 8));
  CHECK_FALSE(isRejected(evidence, {9}, 0, 9));
  CHECK(isRejected(evidence, {9}, 1, 9));
  CHECK_FALSE(isRejected(evidence, {9}, 1, 19));
  CHECK_FALSE(isRejected(evidence, {9}, 349, 110));
}

TEST_CASE("a crashing part is tried twice, and then for minutes no more") {
  EvidenceBySuspect evidence = {{9, crashesFrom(1, 5)}};
  evidence[9].Trials = 2;
  evidence[9].TriedAt = at(20);
  evidence[9].Crashes.push_back({99, at(20), false});
  CHECK(isRejected(evidence, {9}, 0, 300));
  CHECK_FALSE(isRejected(evidence, {9}, 0, 321));
}

TEST_CASE("a trial whose engine was lost for another reason is repeated soon") {
  EvidenceBySuspect evidence = {{9, crashesFrom(1, 5)}};
  evidence[9].Trials = 1;
  evidence[9].TriedAt = at(20);
  CHECK(isRejected(evidence, {9}, 0, 20));
  CHECK_FALSE(isRejected(evidence, {9}, 0, 21));
  evidence[9].Crashes.push_back({99, at(20), false});
  CHECK(isRejected(evidence, {9}, 0, 29));
  CHECK_FALSE(isRejected(evidence, {9}, 0, 30));
}

// A request that was sent before its part was blocked may crash later.
TEST_CASE("a crash that is not of the trial does not delay the next one") {
  EvidenceBySuspect evidence = {{9, crashesFrom(1, 5)}};
  evidence[9].Trials = 1;
  evidence[9].TriedAt = at(20);
  evidence[9].Crashes.push_back({99, at(22), false});
  CHECK(isRejected(evidence, {9}, 0, 22));
  CHECK_FALSE(isRejected(evidence, {9}, 0, 24));
}

// A server may end for another reason right after a trial of a sound part.
TEST_CASE("the second trial of a part comes within the recovery time") {
  constexpr int RecoverySeconds = 6;
  EvidenceBySuspect evidence = {{9, crashesFrom(1, 5)}};
  evidence[9].Trials = 1;
  evidence[9].TriedAt = at(20);
  evidence[9].Crashes.push_back({99, at(20), false});
  CHECK(isRejected(evidence, {9}, 0, 22));
  CHECK_FALSE(isRejected(evidence, {9}, 0, 20 + RecoverySeconds));
}

TEST_CASE("evidence is kept while requests are rejected because of it") {
  EvidenceBySuspect evidence = {{9, crashesFrom(1, 5)}};
  evidence[9].LastUseAt = at(400);
  dropOldEvidence(evidence, at(900));
  CHECK(evidence.contains(9));
  dropOldEvidence(evidence, at(1'100));
  CHECK(evidence.empty());
}

TEST_CASE("much evidence leaves room for the strongest") {
  EvidenceBySuspect evidence = {{9, crashesFrom(1, 3)}};
  for (uint64_t i = 100; i < 1'000; ++i)
    evidence[i] = crashesFrom(5, 5);
  dropOldEvidence(evidence, at(6));
  CHECK(evidence.size() == 256);
  CHECK(evidence.contains(9));
}

TEST_CASE("crashes of several servers under one request count each") {
  SuspectEvidence e;
  for (uint32_t i = 0; i < 3; ++i)
    e.Crashes.push_back({i, at(1) + Milliseconds(i), false});
  CHECK_FALSE(isBlocking(e));
  e.IsRequest = true;
  CHECK(isBlocking(e));
  // Repeats of a sound request may be at all servers of a rack.
  e.WasSound = true;
  CHECK_FALSE(isBlocking(e));
}

TEST_CASE("a request that crashes engines does not block its prompt parts") {
  constexpr SuspectKey Request = keyOfRequest(7);
  EvidenceBySuspect evidence = {{Request, crashesFrom(1, 3)},
                                {9, crashesFrom(1, 3)}};
  evidence[Request].IsRequest = true;
  CHECK(isRejected(evidence, {Request, 9}, 5, 4));
  CHECK_FALSE(isRejected(evidence, {keyOfRequest(8), 9}, 5, 4));
}

TEST_CASE("a request is not cleared by another one that was at its servers") {
  constexpr SuspectKey Crashing = keyOfRequest(7);
  constexpr SuspectKey Sound = keyOfRequest(8);
  EvidenceBySuspect evidence = {{Crashing, crashesFrom(1, 3)},
                                {Sound, crashesFrom(1, 5)}};
  evidence[Crashing].IsRequest = evidence[Sound].IsRequest = true;
  CHECK(isRejected(evidence, {Crashing}, 5, 6));
}

TEST_CASE("many suspected requests leave the evidence against parts") {
  EvidenceBySuspect evidence = {{9, crashesFrom(1, 1)}};
  for (uint64_t i = 0; i < 5'000; ++i)
    evidence[keyOfRequest(i)] = crashesFrom(5, 5);
  evidence[keyOfRequest(3)] = crashesFrom(4, 5);
  dropOldEvidence(evidence, at(6));
  CHECK(evidence.size() == 4'097);
  CHECK(evidence.contains(9));
  CHECK(evidence.contains(keyOfRequest(3)));
}
