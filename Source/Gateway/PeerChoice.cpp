#include "Sardineford/Gateway/PeerChoice.h"

namespace sardineford::gateway {

namespace {

constexpr Milliseconds PeerPause{500};
constexpr Milliseconds ServedMemory{2'000};
/// Number of peers that have served requests from which no other ones are
/// tried.
constexpr size_t EnoughPeers = 4;
/// Bounds what all processes ask each other while the servers are down.
constexpr Milliseconds ServicePause{50};

} // namespace

std::optional<http::Endpoint>
PeerChoice::choose(const std::vector<http::Endpoint> &peers,
                   const std::set<http::Endpoint> &asked, MonoTime now,
                   std::mt19937_64 &random) {
  auto isOver = [&](const auto &it) { return it.second <= now; };
  std::erase_if(PausedPeers, isOver);
  std::erase_if(ServingPeers, isOver);
  std::vector<http::Endpoint> possible;
  std::vector<http::Endpoint> serving;
  for (const http::Endpoint &it : peers) {
    if (PausedPeers.contains(it) || asked.contains(it))
      continue;
    possible.push_back(it);
    if (ServingPeers.contains(it))
      serving.push_back(it);
  }
  if (possible.empty())
    return std::nullopt;
  bool prefersServing = serving.size() >= EnoughPeers || !asked.empty();
  if (prefersServing && !serving.empty())
    possible = std::move(serving);
  std::uniform_int_distribution<size_t> pick(0, possible.size() - 1);
  return possible[pick(random)];
}

void PeerChoice::recordRefusal(const http::Endpoint &peer, MonoTime now) {
  PausedPeers[peer] = now + PeerPause;
  ServingPeers.erase(peer);
}

void PeerChoice::recordServed(const http::Endpoint &peer, MonoTime now) {
  ServingPeers[peer] = now + ServedMemory;
}

void PeerChoice::recordFailure(const std::string &service, MonoTime now) {
  PausedServices[service] = now + ServicePause;
}

bool PeerChoice::mayAsk(const std::string &service, MonoTime now) const {
  auto it = PausedServices.find(service);
  return it == PausedServices.end() || it->second <= now;
}

} // namespace sardineford::gateway
