#pragma once

#include "Peers/PeerSet.h"
#include "Sardineford/Fleet/Directory.h"
#include "Sardineford/Fleet/StoreView.h"
#include "Sardineford/Metrics/Metrics.h"
#include "Sardineford/Peers/LoadView.h"
#include "Sardineford/Store/ObjectStore.h"

#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace sardineford::messages {
class LoadShare;
} // namespace sardineford::messages

namespace sardineford::peers {

/// Tells the other processes of this one's work in flight at each backend
/// server, and learns theirs. The processes find one another in the
/// platform's store; the reports are datagrams, since only the newest counts.
class LoadExchange {
public:
  LoadExchange(IoContext &io, store::ObjectStore &store, std::string node,
               http::Endpoint listen, fleet::Directory &directory,
               metrics::Metrics &metrics);
  ~LoadExchange();

  void start();
  /// Number of processes that share the work, this one included.
  unsigned processes() const;
  /// Tells the others that a prompt part is cached at a server from now on.
  void publishPart(const std::string &server, uint64_t part, uint64_t tokens);
  /// What is known of the store, to tell and to be told.
  void exchangeStoreViews(std::function<fleet::StoreView()> own,
                          std::function<void(const fleet::StoreView &)> peer) {
    OwnView = std::move(own);
    PeerView = std::move(peer);
  }
  /// Called when the number of processes may have changed.
  void onPeersChanged(std::function<void()> f) { PeersChanged = std::move(f); }

private:
  Awaitable<void> membershipLoop();
  Awaitable<void> registerOwn();
  Awaitable<void> readMembers();
  Awaitable<void> sendLoop();
  Awaitable<void> receiveLoop();
  /// Renews the own report. Returns false when it has not changed and peers
  /// know the process alive.
  bool renewReport();
  void sendOwn(const std::vector<http::Endpoint> &to);
  /// Passes on what the near peers told since the last time.
  void sendWithRelayed(const std::vector<http::Endpoint> &to);
  void send(const std::string &bytes, const std::vector<http::Endpoint> &to);
  void takeDatagram(std::string_view bytes, const http::Endpoint &from);
  void takeReport(const messages::LoadShare &in, const http::Endpoint &from);
  void keepForRelay(const messages::LoadShare &in);
  Milliseconds sendInterval(const PeerSet::Sends &to) const;
  void applyTotals();
  void applyChanged();

  IoContext &Io;
  store::ObjectStore &Store;
  std::string Node;
  std::string Incarnation;
  http::Endpoint Listen;
  fleet::Directory &Servers;
  metrics::Metrics &Metrics;
  boost::asio::ip::udp::socket Socket;
  std::function<void()> PeersChanged;
  std::function<fleet::StoreView()> OwnView;
  std::function<void(const fleet::StoreView &)> PeerView;
  LoadView View;
  PeerSet Peers;
  /// Newest reports of near peers that are not passed on yet, by node.
  std::map<std::string, std::unique_ptr<messages::LoadShare>> ToRelay;
  /// Processes that asked for a report.
  std::vector<http::Endpoint> ToAnswer;
  uint64_t Sequence = 0;
  struct PartUse {
    std::string Server;
    uint64_t Part = 0;
    uint64_t Tokens = 0;
    int Repeats = 0;
  };

  std::vector<PartUse> Parts;
  /// The own report, and its bytes without the sequence.
  std::unique_ptr<messages::LoadShare> Own;
  std::string LastSent;
  MonoTime LastSentAt{};
  bool Registered = false;
};

} // namespace sardineford::peers
