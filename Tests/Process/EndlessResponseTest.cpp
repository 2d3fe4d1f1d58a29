#include "StandIns/Deployment/Deployment.h"
#include "StandIns/Platform/PlatformCaller.h"
#include "StandIns/Platform/PlatformDeployment.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <fstream>
#include <string>
#include <vector>

using namespace sardineford;
using namespace sardineford::standins;

namespace {

constexpr Milliseconds StartTime{20'000};
/// Timeouts of the deployment's routes, and the time after them at which each
/// request must have been answered.
constexpr Milliseconds PlainTimeout{2'000};
constexpr Milliseconds StreamTimeout{4'000};
constexpr Milliseconds AnswerBound{500};
constexpr Milliseconds Deadline{4'000};
constexpr size_t SoundCalls = 40;
constexpr Milliseconds SoundCallPause{40};
/// A server rejects all calls that arrive together beyond its slots.
constexpr size_t GroupSize = 32;
constexpr Milliseconds GroupPause{20};
/// Memory of the control plane on an instance.
constexpr size_t MaxMemoryKb = size_t{64} * 1024;

/// Returns the largest memory that a process has used.
size_t peakMemoryKb(pid_t process) {
  std::ifstream in("/proc/" + std::to_string(process) + "/status");
  for (std::string word; in >> word;)
    if (word == "VmHWM:") {
      size_t out = 0;
      in >> out;
      return out;
    }
  return 0;
}

bool isStream(const std::string &route) {
  return route == StreamRoute || route == ResumableRoute;
}

struct EndlessResult {
  bool Ready = false;
  /// Calls to the other, sound service.
  std::vector<CallResult> Sound;
  /// Calls that the endless responses answer.
  std::vector<CallResult> Affected;
  size_t EndlessResponses = 0;
  size_t PeakMemoryKb = 0;
};

/// Calls a daemon on the route while the servers of its service answer without
/// an end, and calls the other service at the same time.
EndlessResult callBesideEndless(EndlessForm form, const std::string &route,
                                size_t affectedCalls) {
  IoContext io(1);
  PlatformDeployment deployment(io, {.Programs = SARDINEFORD_PROGRAMS,
                                     .Folder = makeTemporaryFolder(),
                                     .Daemons = 1,
                                     .PlainServers = 1,
                                     .PrefillEngines = 0,
                                     .DecodeEngines = 1,
                                     .RetrySlack = 100'000});
  std::string soundRoute = isStream(route) ? OnceRoute : StreamRoute;
  EndlessResult out;
  http::Client client(io);
  size_t open = 0;
  auto call = [&](std::string to, std::vector<CallResult> &results) {
    ++open;
    spawn(io, "call", [&, to]() -> Awaitable<void> {
      results.push_back(co_await callDaemon(
          client, deployment.Daemons[0].HttpListen, to, Deadline));
      --open;
    });
  };
  spawn(io, "case", [&]() -> Awaitable<void> {
    out.Ready = co_await deployment.bringUp(StartTime);
    for (DeployedWorker &it : deployment.Workers)
      if (it.Stage.empty() != isStream(route))
        it.Link->setEndless(form);
    for (size_t i = 0; out.Ready && i < affectedCalls; ++i) {
      if (i > 0 && i % GroupSize == 0)
        co_await sleepFor(GroupPause);
      call(route, out.Affected);
    }
    co_await sleepFor(Milliseconds(200));
    for (size_t i = 0; out.Ready && i < SoundCalls; ++i) {
      call(soundRoute, out.Sound);
      co_await sleepFor(SoundCallPause);
    }
    while (open > 0)
      co_await sleepFor(Milliseconds(20));
    for (const DeployedWorker &it : deployment.Workers)
      out.EndlessResponses += it.Link->endlessResponses();
    out.PeakMemoryKb = peakMemoryKb(deployment.Daemons[0].ChildProcess->id());
    io.stop();
  });
  io.run();
  return out;
}

/// Checks that all callers of the other service are served, that all affected
/// ones have an answer, and that the daemon keeps to its memory.
void checkOthersAreServed(EndlessForm form, const std::string &route,
                          size_t affectedCalls) {
  EndlessResult r = callBesideEndless(form, route, affectedCalls);
  INFO(toString(form) << " on " << route << ", " << affectedCalls
                      << " calls, memory " << r.PeakMemoryKb << " KB");
  REQUIRE(r.Ready);
  CHECK(r.EndlessResponses > 0);
  REQUIRE(r.Sound.size() == SoundCalls);
  auto isCorrect = [](const CallResult &it) {
    return it.Outcome == DaemonCallOutcome::Correct;
  };
  CHECK(std::count_if(r.Sound.begin(), r.Sound.end(), isCorrect) == SoundCalls);
  REQUIRE(r.Affected.size() == affectedCalls);
  CHECK(std::count_if(r.Affected.begin(), r.Affected.end(), isCorrect) == 0);
  for (const CallResult &it : r.Affected) {
    INFO(it.Id << ", status " << it.Status);
    CHECK(it.Elapsed <=
          (isStream(route) ? StreamTimeout : PlainTimeout) + AnswerBound);
  }
  CHECK(r.PeakMemoryKb <= MaxMemoryKb);
}

constexpr size_t FewCalls = 4;
constexpr size_t ManyCalls = 24;
constexpr size_t Crowd = 200;

} // namespace

TEST_CASE("callers of another service are served while events do not end",
          "[process]") {
  for (EndlessForm it : {EndlessForm::Event, EndlessForm::CommentLines,
                         EndlessForm::Comments, EndlessForm::OneByteChunks})
    checkOthersAreServed(it, StreamRoute, FewCalls);
}

// Guards against a stream that never ends since each byte counts as progress.
TEST_CASE("a stalled stream that sends a byte now and then ends", "[process]") {
  for (const char *route : {StreamRoute, ResumableRoute})
    checkOthersAreServed(EndlessForm::Trickle, route, FewCalls);
}

TEST_CASE("callers of another service are served while heads, chunk headers "
          "or trailers do not end",
          "[process]") {
  for (EndlessForm it : {EndlessForm::Header, EndlessForm::ChunkSize,
                         EndlessForm::ChunkExtension, EndlessForm::Trailer})
    checkOthersAreServed(it, StreamRoute, FewCalls);
  for (EndlessForm it : {EndlessForm::ChunkSize, EndlessForm::Trailer})
    checkOthersAreServed(it, OnceRoute, FewCalls);
}

TEST_CASE("many bodies without an end stay within the memory of an instance",
          "[process]") {
  for (EndlessForm it : {EndlessForm::Body, EndlessForm::ErrorBody}) {
    checkOthersAreServed(it, StreamRoute, ManyCalls);
    checkOthersAreServed(it, RepeatableRoute, ManyCalls);
  }
}

// Guards against a process that runs out of memory by what one faulty server
// sends.
TEST_CASE("a crowd of answers without an end stays within the memory of an "
          "instance",
          "[process]") {
  for (EndlessForm it : EndlessHeads)
    checkOthersAreServed(it, RepeatableRoute, Crowd);
  for (const char *route : {StreamRoute, OnceRoute})
    for (EndlessForm it :
         {EndlessForm::Letters, EndlessForm::Headers, EndlessForm::Body,
          EndlessForm::ErrorBody, EndlessForm::ChunkSize})
      checkOthersAreServed(it, route, Crowd);
}

TEST_CASE("a store that answers without an end leaves a daemon within its "
          "memory",
          "[process]") {
  constexpr Milliseconds EndlessTime{4'000};
  for (EndlessForm form :
       {EndlessForm::Letters, EndlessForm::Headers, EndlessForm::Body,
        EndlessForm::OneByteChunks, EndlessForm::Trailer}) {
    INFO(toString(form));
    IoContext io(1);
    PlatformDeployment deployment(io, {.Programs = SARDINEFORD_PROGRAMS,
                                       .Folder = makeTemporaryFolder(),
                                       .Daemons = 1});
    http::Client client(io);
    bool ready = false;
    std::vector<CallResult> results;
    spawn(io, "case", [&]() -> Awaitable<void> {
      ready = co_await deployment.bringUp(StartTime);
      DeployedDaemon &daemon = deployment.Daemons[0];
      daemon.StoreLink->setEndless(form);
      // The daemon reads from the store again.
      daemon.StoreLink->closeOpenConnections();
      for (Milliseconds t{0}; ready && t < EndlessTime; t += SoundCallPause) {
        http::Endpoint to = daemon.HttpListen;
        results.push_back(
            co_await callDaemon(client, to, RepeatableRoute, Deadline));
        co_await sleepFor(SoundCallPause);
      }
      io.stop();
    });
    io.run();
    REQUIRE(ready);
    CHECK(deployment.Daemons[0].StoreLink->endlessResponses() > 0);
    CHECK(peakMemoryKb(deployment.Daemons[0].ChildProcess->id()) <=
          MaxMemoryKb);
    CHECK(std::all_of(results.begin(), results.end(), [](const auto &it) {
      return it.Outcome == DaemonCallOutcome::Correct;
    }));
  }
}
