#pragma once

#include "Sardineford/Fleet/Directory.h"
#include "Sardineford/Metrics/Metrics.h"
#include "Sardineford/Peers/LoadView.h"
#include "Sardineford/Store/ObjectStore.h"

#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <map>

namespace sardineford::peers {

/// Tells the other processes of this one's work in flight at each backend
/// server, and learns theirs. The processes find one another in the
/// platform's store; the reports are datagrams, since only the newest counts.
class LoadExchange {
public:
  LoadExchange(IoContext &io, store::ObjectStore &store, std::string node,
               http::Endpoint listen, fleet::Directory &directory,
               metrics::Metrics &metrics);

  void start();
  /// Number of processes that share the work, this one included.
  unsigned processes() const;
  /// Tells the others that a prompt part is cached at a server from now on.
  void tellPart(const std::string &server, uint64_t part, uint64_t tokens);
  /// Digests of what is known of the store, to tell and to be told.
  struct Digests {
    uint64_t Configuration = 0;
    uint64_t Servers = 0;
  };
  void exchangeDigests(std::function<Digests()> own,
                       std::function<void(Digests)> peer) {
    OwnDigests = std::move(own);
    PeerDigests = std::move(peer);
  }
  /// Called when the number of processes may have changed.
  void onPeers(std::function<void()> f) { PeersChanged = std::move(f); }

private:
  Awaitable<void> membershipLoop();
  Awaitable<void> registerOwn();
  Awaitable<void> readMembers();
  Awaitable<void> sendLoop();
  Awaitable<void> receiveLoop();
  void sendReport(const std::string &message);
  void takeReport(const std::string &bytes, const http::Endpoint &from);
  Milliseconds sendInterval() const;
  void applyTotals();
  std::string reportBytes();

  IoContext &Io;
  store::ObjectStore &Store;
  std::string Node;
  std::string Incarnation;
  http::Endpoint Listen;
  fleet::Directory &Servers;
  metrics::Metrics &Metrics;
  boost::asio::ip::udp::socket Socket;
  std::function<void()> PeersChanged;
  std::function<Digests()> OwnDigests;
  std::function<void(Digests)> PeerDigests;
  LoadView View;
  /// Peers and when they were listed or heard last.
  std::map<http::Endpoint, MonoTime> Members;
  uint64_t Sequence = 0;
  struct PartUse {
    std::string Server;
    uint64_t Part = 0;
    uint64_t Tokens = 0;
    int Repeats = 0;
  };

  std::vector<PartUse> Parts;
  std::string LastSent;
  MonoTime LastSentAt{};
  bool Registered = false;
};

} // namespace sardineford::peers
