#include "Sardineford/Gateway/PeerChoice.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdio>

using namespace sardineford;
using namespace sardineford::gateway;

namespace {

constexpr Milliseconds Length{5'000};
/// Requests a second at one process, as at the target of the fleet.
constexpr int RequestsPerSecond = 40;

struct PassOnOutcome {
  /// Ratio of the requests of processes that are cut off which a peer serves.
  double ServedRatio = 0;
  /// Peers that are asked for each request, mean, and by one process a second
  /// at most.
  double HopsPerRequest = 0;
  /// Most requests that a peer is asked for, over its own.
  double MostAsked = 0;
};

/// Plays processes of which the first ones reach no server.
PassOnOutcome playCut(size_t processes, size_t cut, uint64_t seed) {
  std::mt19937_64 random(seed);
  std::vector<http::Endpoint> all;
  for (size_t i = 0; i < processes; ++i)
    all.push_back({"10.0.0.1", static_cast<uint16_t>(i + 1)});
  std::vector<PeerChoice> choices(cut);
  std::vector<size_t> asked(processes);
  size_t requests = 0;
  size_t served = 0;
  size_t hops = 0;
  Milliseconds interval{1'000 / RequestsPerSecond};
  for (Milliseconds t{1'000}; t < Milliseconds(1'000) + Length; t += interval)
    for (size_t i = 0; i < cut; ++i) {
      MonoTime now = MonoTime{} + t;
      ++requests;
      if (!choices[i].mayAsk("model", now))
        continue;
      std::vector<http::Endpoint> peers = all;
      peers.erase(peers.begin() + static_cast<ptrdiff_t>(i));
      std::set<http::Endpoint> askedNow;
      bool done = false;
      while (!done && askedNow.size() < MaxPeersAsked) {
        auto peer = choices[i].choose(peers, askedNow, now, random);
        if (!peer)
          break;
        ++hops;
        askedNow.insert(*peer);
        size_t index = peer->Port - 1U;
        ++asked[index];
        done = index >= cut;
        if (done)
          choices[i].recordServed(*peer, now);
        else
          choices[i].recordRefusal(*peer, now);
      }
      served += done ? 1 : 0;
      if (!done)
        choices[i].recordFailure("model", now);
    }
  PassOnOutcome out;
  out.ServedRatio = static_cast<double>(served) / static_cast<double>(requests);
  out.HopsPerRequest =
      static_cast<double>(hops) / static_cast<double>(requests);
  out.MostAsked =
      static_cast<double>(*std::max_element(asked.begin(), asked.end())) /
      (RequestsPerSecond * toSeconds(Length));
  std::printf("passed on: %3zu processes, %3zu cut off: %.3f served, %.2f hops "
              "a request, %.2f of its own requests at the busiest peer\n",
              processes, cut, out.ServedRatio, out.HopsPerRequest,
              out.MostAsked);
  return out;
}

} // namespace

TEST_CASE("processes that are cut off find peers that reach the servers") {
  for (size_t processes : {6, 60, 350})
    for (double ratio : {0.2, 0.5, 0.8}) {
      auto cut = static_cast<size_t>(static_cast<double>(processes) * ratio);
      PassOnOutcome out = playCut(processes, std::max<size_t>(cut, 1), 1);
      INFO(processes << " processes, " << cut << " cut off");
      // The bound of the platform, of what the others serve.
      CHECK(out.ServedRatio >= 2.0 / 3);
      // Its callers' own requests and those passed on, shared evenly.
      CHECK(out.MostAsked <= 2 * ratio / (1 - ratio) + 1);
    }
}

TEST_CASE("processes ask each other little while the servers are down") {
  for (size_t processes : {6, 60, 350}) {
    PassOnOutcome out = playCut(processes, processes, 1);
    INFO(processes << " processes");
    CHECK(out.MostAsked <= 2.5);
  }
}
