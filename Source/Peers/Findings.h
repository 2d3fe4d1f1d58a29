#pragma once

#include "Peers/FindingCodec.h"
#include "Peers/RunningProcess.h"
#include "Peers/SoundRequests.h"
#include "Sardineford/Fleet/CrashEvidence.h"
#include "Sardineford/Metrics/Metrics.h"

#include <functional>
#include <map>
#include <set>
#include <span>
#include <string_view>
#include <vector>

namespace sardineford::messages {
class LoadShare;
} // namespace sardineford::messages

namespace sardineford::peers {

/// What backend servers have shown to some process and binds all of them. A
/// crash under a suspect that is not known to be sound is sent to all processes
/// at once, other news at the next turn unless a peer has sent the same before.
/// Reports carry a digest of what binds; a process whose digest differs, since
/// it was cut off, has restarted or lost a datagram, is sent that. Nothing is
/// sent while there is nothing to know.
class Findings {
public:
  using Send =
      std::function<void(const messages::LoadShare &, const http::Endpoint &)>;
  using SendToAll = std::function<void(const messages::LoadShare &)>;

  Findings(metrics::Metrics &metrics, const http::Endpoint &address, Send send,
           SendToAll sendToAll);

  /// Sets the running processes, including this one.
  void setProcesses(const std::vector<RunningProcess> &processes, MonoTime now);

  /// Records the crash of a server at which answers with these suspects had
  /// just begun. `server` is its hashOfIncarnation.
  void recordCrash(uint32_t server, MonoTime at,
                   std::span<const fleet::SuspectKey> suspects, MonoTime now);
  /// Records a successful response with these suspects.
  void recordSound(std::span<const fleet::SuspectKey> suspects, MonoTime begin,
                   MonoTime now);
  /// Returns whether a successful response with these suspects would be news.
  bool needsSoundAnswer(std::span<const fleet::SuspectKey> suspects,
                        MonoTime now) const;
  /// Decides whether a request with these suspects may be sent to an
  /// engine.
  fleet::SuspectDecision decide(std::span<const fleet::SuspectKey> suspects,
                                MonoTime now);
  /// Records that a request is sent although a suspect is blocked.
  void recordTrial(fleet::SuspectKey suspect, MonoTime now);
  const fleet::EvidenceBySuspect &evidence() const { return Suspects; }
  /// Records what a response says of its server's limit. `sentAt` is when the
  /// request was sent.
  void recordLimit(uint32_t server, const std::string &id,
                   std::optional<double> perSecond, MonoTime sentAt,
                   MonoTime now);
  /// Returns whether this process may send a request to the server now.
  bool maySend(uint32_t server, MonoTime now);
  /// Counts a request to the server.
  void recordRequest(uint32_t server, MonoTime now);
  bool hasLimits() const { return !Limits.empty(); }
  /// Returns the number of servers that name a limit.
  size_t limitedServers() const;

  /// Sends the news of this turn and drops what is no longer needed. Called
  /// several times a second.
  void endTurn(MonoTime now);

  /// Equal for processes that reject requests for the same suspects and
  /// know the same limits; 0 for none.
  uint32_t digest() const { return Digest; }
  /// Sends the evidence against these suspects, and the limits, to a peer that
  /// differs. The peer publishes what is refuted or newer there.
  void checkPeer(uint32_t digest, const http::Endpoint &peer, MonoTime now);
  /// Handles a datagram. Returns false if it is none of this class.
  bool handle(const messages::LoadShare &in, MonoTime now);

private:
  /// Adds evidence on a suspect, and what this process knows of it. Returns
  /// whether anything was new, also to the source of the evidence.
  bool merge(fleet::SuspectKey suspect, const fleet::SuspectEvidence &from,
             std::string_view source);
  bool wasRecentlySound(fleet::SuspectKey suspect, MonoTime at) const;
  /// Returns the begin of the last sound answer here.
  std::optional<MonoTime> lastSound(fleet::SuspectKey key) const;
  void sendSuspects(std::span<const fleet::SuspectKey> suspects, MonoTime now);
  void removeOld(MonoTime now);
  void logVerdict(fleet::SuspectKey suspect, const fleet::SuspectEvidence &e,
                  bool wasBlocking, std::string_view source);
  void updateDigest();
  fleet::TrialRank rankOf(const std::string &name) const;
  /// Returns false if the limit has changed.
  bool applyLimit(uint32_t server, const ServerLimit &limit,
                  std::string_view source, MonoTime now);
  void sendLimits(const std::set<uint32_t> &servers, MonoTime now);
  /// Returns the tokens of this process at a server with a limit, or nullptr.
  fleet::RequestTokens *tokensOf(uint32_t server, MonoTime now);

  metrics::Metrics &Metrics;
  uint64_t AddressHash;
  Send SendTo;
  SendToAll SendAll;
  std::vector<RunningProcess> Processes;
  /// Hashes of the addresses of these and of those that were among them until a
  /// short while ago: a process that is cut off must not take all of a limit.
  std::vector<uint64_t> ProcessHashes;
  std::map<uint64_t, MonoTime> LeftAt;
  fleet::EvidenceBySuspect Suspects;
  /// Begin of the last sound answer with each suspect, here.
  std::map<uint64_t, MonoTime> SoundParts;
  SoundRequests SoundRepeats;
  /// Crashes under suspects that were sound, which are sent only if no sound
  /// answer follows soon.
  std::map<uint64_t, std::vector<fleet::CrashSighting>> Unconfirmed;
  /// Suspects of which this process knows more than a peer.
  std::set<fleet::SuspectKey> ToSend;
  std::map<http::Endpoint, MonoTime> RepairedAt;
  LimitByServer Limits;
  /// Servers whose limits are news to some peer.
  std::set<uint32_t> LimitsToSend;
  struct LocalShare {
    double PerSecond = 0;
    fleet::RequestTokens Tokens;
  };
  /// This process's shares of the limits. Computed again when the processes or
  /// the limit change.
  std::map<uint32_t, LocalShare> Shares;
  std::set<uint32_t> StaleShares;
  uint32_t Digest = 0;
};

/// Identifies one start of a backend server.
uint32_t hashOfIncarnation(std::string_view id, int64_t startedMs);

} // namespace sardineford::peers
