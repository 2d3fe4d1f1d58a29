#pragma once

#include "Sardineford/Config/Generation.h"
#include "Sardineford/Rpc/Rpc.h"
#include "Sardineford/Timeline/Recorder.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace sardineford::exchange {

namespace wire {
struct Message;
} // namespace wire

struct ExchangeOptions {
  std::string Name;
  std::string Incarnation;
  std::string FailureDomain;
  http::Endpoint Address;
  bool IsController = false;
  Milliseconds Interval{300};
  Milliseconds CallTimeout{1'000};
};

/// Last known state of a process of the system.
struct Member {
  std::string Name;
  std::string Incarnation;
  std::string FailureDomain;
  http::Endpoint Address;
  uint64_t Generation = 0;
  /// Increases with each state that the process publishes; orders the states of
  /// one incarnation.
  uint64_t Sequence = 0;
  bool Ready = false;
  bool IsController = false;
  bool Stopping = false;
  int ConsecutiveFailures = 0;
};

/// Last known holder of a pool's lease.
struct LeaseHolder {
  std::string Pool;
  std::string Holder;
  uint64_t Epoch = 0;
  http::Endpoint Address;
};

/// Gossip protocol between the system's processes for the newest generation,
/// the members, the leaving backend servers and the lease holders. Each process
/// calls a random peer at every interval, and a few peers at once after a
/// change of the local state.
class Exchange {
public:
  Exchange(IoContext &io, ExchangeOptions options, rpc::Server &server,
           rpc::Client &client, timeline::Recorder &recorder);

  void start();

  /// Sets the addresses of possible peers, taken from the instance list.
  void setPeers(std::vector<http::Endpoint> peers);
  void setReady(bool ready);
  void setStopping();

  /// Returns the generation that this process has applied. Changes only through
  /// applyGeneration.
  const config::GenerationState &config() const { return State; }
  bool applyGeneration(const config::Delta &d);
  /// Sets the callback that runs after each new generation.
  void onGenerationChanged(std::function<void()> f) {
    OnGenerationChanged = std::move(f);
  }

  /// Marks an incarnation of a backend server as leaving; a mark is never
  /// removed.
  void markLeaving(const std::string &backend, const std::string &incarnation);
  bool isLeaving(const std::string &backend,
                 const std::string &incarnation) const;

  /// Stores the holder unless one with the same or a higher epoch is known.
  void updateHolder(LeaseHolder h);
  std::optional<LeaseHolder> holderOf(const std::string &pool) const;

  const std::map<std::string, Member> &members() const { return Members; }
  /// Returns the last time at which a peer or the store confirmed the
  /// generation of this process.
  MonoTime lastConfirmed() const { return ConfirmedAt; }
  void recordConfirmation(MonoTime at) {
    ConfirmedAt = std::max(ConfirmedAt, at);
  }
  /// Returns the names of the reachable controllers, including this process if
  /// it is a controller.
  std::vector<std::string> liveControllers() const;

  const ExchangeOptions &options() const { return Options; }

private:
  struct LeavingKey {
    std::string Backend;
    std::string Incarnation;
    auto operator<=>(const LeavingKey &) const = default;
  };

  /// Progress of the updates that were sent to one incarnation of a peer.
  struct PeerSync {
    std::string Incarnation;
    /// The peer has received all updates up to this number.
    uint64_t SentUpTo = 0;
    /// After a failed call, updates of either side may have been lost.
    bool LastCallFailed = true;
    int ConsecutiveFailures = 0;

    /// Resets the progress if the peer has a new incarnation.
    void resetIfRestarted(const std::string &incarnation);
  };

  Awaitable<void> loop();
  Awaitable<void> exchangeWith(http::Endpoint peer);
  Awaitable<std::string> handleExchange(std::string body);
  Awaitable<std::string> handleFetch(std::string body);
  Awaitable<void> fetchFrom(http::Endpoint peer);
  std::string makeMessage(uint64_t updatesAfter, bool wantAll);
  void applyMessage(wire::Message in);
  void propagate();
  Member &self();
  void updateSelf();
  std::optional<http::Endpoint> pickPeer();
  void recordCallResult(const http::Endpoint &peer, bool failed);

  IoContext &Io;
  ExchangeOptions Options;
  rpc::Client &Client;
  timeline::Recorder &Recorder;
  config::GenerationState State;
  std::function<void()> OnGenerationChanged;
  std::vector<http::Endpoint> Peers;
  std::map<std::string, Member> Members;
  std::map<std::string, LeaseHolder> Holders;
  std::set<LeavingKey> Leaving;
  /// Number of the last update. Each change of an entry gets the next number,
  /// so that each update is sent only once to a peer.
  uint64_t LastUpdate = 0;
  std::map<std::string, uint64_t> MemberUpdates;
  std::map<LeavingKey, uint64_t> LeavingUpdates;
  std::map<std::string, uint64_t> HolderUpdates;
  std::map<http::Endpoint, PeerSync> PeerSyncs;
  MonoTime ConfirmedAt{};
  bool PropagationPending = false;
};

} // namespace sardineford::exchange
