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

/// What is known of another process of the system.
struct Member {
  std::string Name;
  std::string Incarnation;
  std::string FailureDomain;
  http::Endpoint Address;
  uint64_t Generation = 0;
  uint64_t Sequence = 0;
  bool Ready = false;
  bool IsController = false;
  bool Stopping = false;
  int ConsecutiveFailures = 0;
};

/// Who holds a pool's lease, as heard.
struct LeaseHolder {
  std::string Pool;
  std::string Holder;
  uint64_t Epoch = 0;
  http::Endpoint Address;
};

/// Epidemic exchange between the system's processes: the newest generation,
/// members, leaving backend servers and lease holders. Each process calls a
/// peer at random every interval and, after news, at once.
class Exchange {
public:
  Exchange(IoContext &io, ExchangeOptions options, rpc::Server &server,
           rpc::Client &client, timeline::Recorder &recorder);

  void start();

  /// Addresses of possible peers, from the instance list.
  void setPeers(std::vector<http::Endpoint> peers);
  void setReady(bool ready);
  void setStopping();

  /// The generation of this process. Apply through applyGeneration.
  const config::GenerationState &config() const { return State; }
  bool applyGeneration(const config::Delta &d);
  /// Called after each new generation.
  void onGenerationChanged(std::function<void()> f) { Changed = std::move(f); }

  /// Marks an incarnation of a backend server as leaving, for good.
  void markLeaving(const std::string &backend, const std::string &incarnation);
  bool isLeaving(const std::string &backend,
                 const std::string &incarnation) const;

  void updateHolder(LeaseHolder h);
  std::optional<LeaseHolder> holderOf(const std::string &pool) const;

  const std::map<std::string, Member> &members() const { return Members; }
  /// Last time that a peer confirmed its generation to this process.
  MonoTime lastConfirmed() const { return Confirmed; }
  void recordConfirmation(MonoTime at) { Confirmed = std::max(Confirmed, at); }
  /// Controllers that answer, this process included if it is one, by name.
  std::vector<std::string> liveControllers() const;

  const ExchangeOptions &options() const { return Options; }

private:
  struct LeavingKey {
    std::string Backend;
    std::string Incarnation;
    auto operator<=>(const LeavingKey &) const = default;
  };

  /// How far the news was given to one incarnation of a peer.
  struct Given {
    std::string Incarnation;
    uint64_t News = 0;
    /// The last call failed: what was told in it may be lost on either side.
    bool Failed = true;
    int FailuresInARow = 0;

    /// Forgets what was given when the peer is a new process.
    void meet(const std::string &incarnation);
  };

  Awaitable<void> loop();
  Awaitable<void> exchangeWith(http::Endpoint peer);
  Awaitable<std::string> answerExchange(std::string body);
  Awaitable<std::string> answerFetch(std::string body);
  Awaitable<void> fetchFrom(http::Endpoint peer);
  std::string makeMessage(uint64_t newsAfter, bool wantAll);
  void takeMessage(wire::Message in);
  void spread();
  Member &self();
  void touchSelf();
  std::optional<http::Endpoint> pickPeer();
  void noteFailure(const http::Endpoint &peer, bool failed);

  IoContext &Io;
  ExchangeOptions Options;
  rpc::Client &Client;
  timeline::Recorder &Recorder;
  config::GenerationState State;
  std::function<void()> Changed;
  std::vector<http::Endpoint> Peers;
  std::map<std::string, Member> Members;
  std::map<std::string, LeaseHolder> Holders;
  std::set<LeavingKey> Leaving;
  /// Position of each piece of news, so that each is sent once to a peer.
  uint64_t News = 0;
  std::map<std::string, uint64_t> MemberNews;
  std::map<LeavingKey, uint64_t> LeavingNews;
  std::map<std::string, uint64_t> HolderNews;
  std::map<http::Endpoint, Given> GivenTo;
  MonoTime Confirmed{};
  bool Spreading = false;
};

} // namespace sardineford::exchange
