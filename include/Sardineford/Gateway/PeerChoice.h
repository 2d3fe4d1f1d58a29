#pragma once

#include "Sardineford/Common/Time.h"
#include "Sardineford/Http/Message.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace sardineford::gateway {

/// Most peers that are asked to serve one request.
inline constexpr int MaxPeersAsked = 4;

/// Chooses the peers that get the requests which this process cannot serve. A
/// peer that could not serve one gets no other for some time.
class PeerChoice {
public:
  /// Returns one of the peers at random, so that none gets the requests of all,
  /// or one that has served a request lately: once several have, and for a
  /// request that another peer has refused. Nothing if there is none to ask
  /// now.
  std::optional<http::Endpoint> choose(const std::vector<http::Endpoint> &peers,
                                       const std::set<http::Endpoint> &asked,
                                       MonoTime now, std::mt19937_64 &random);
  void recordRefusal(const http::Endpoint &peer, MonoTime now);
  void recordServed(const http::Endpoint &peer, MonoTime now);
  /// No peer that was asked for a request of the service could serve it: the
  /// servers are down rather than the links.
  void recordFailure(const std::string &service, MonoTime now);
  /// Returns whether peers may be asked for a request of the service.
  bool mayAsk(const std::string &service, MonoTime now) const;

private:
  /// Times from which they may be asked again.
  std::map<http::Endpoint, MonoTime> PausedPeers;
  /// Peers that have served requests, and until when that counts.
  std::map<http::Endpoint, MonoTime> ServingPeers;
  std::map<std::string, MonoTime> PausedServices;
};

} // namespace sardineford::gateway
