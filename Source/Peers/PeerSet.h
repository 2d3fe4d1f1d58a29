#pragma once

#include "Peers/RunningProcess.h"
#include "Sardineford/Common/Time.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace sardineford::peers {

/// The known peers, and the selection of those to send to.
class PeerSet {
public:
  explicit PeerSet(RunningProcess local) : Local(std::move(local)) {}

  /// Adds a peer from the platform's list.
  void addListed(const http::Endpoint &endpoint, MonoTime now);
  /// Adds all peers of the platform's list. Those that are neither listed nor
  /// known to run stop being members.
  void applyList(const std::vector<http::Endpoint> &listed, MonoTime now);
  /// Returns the number of processes that may exist, with the local one: a
  /// silent peer is a member until it leaves the list. Nothing before the list
  /// is known.
  std::optional<size_t> members() const;
  /// Records that a peer runs, by its report or a relay.
  void recordReport(const RunningProcess &process, MonoTime now);

  struct Recipients {
    std::vector<http::Endpoint> SameGroup;
    std::vector<http::Endpoint> OtherGroups;
    /// Silent peers, which are probed for a report from time to time: a silent
    /// peer may have just started, resumed or reconnected, or may assign other
    /// processes to its group.
    std::vector<http::Endpoint> Silent;
    /// Many of the processes that pass on datagrams may be gone.
    bool AreRelaysInDoubt = false;
  };
  /// Selects the peers to send to now and marks the silent ones as probed.
  Recipients selectRecipients(MonoTime now);
  /// Returns true if the endpoint is in the local group, whose processes send
  /// to each other directly.
  bool isInGroup(const http::Endpoint &endpoint) const {
    return LocalGroup.contains(endpoint);
  }
  bool empty() const { return Peers.empty(); }
  /// Returns the running processes, sorted by address, and those that were
  /// listed so recently that their reports may not have arrived yet.
  std::vector<http::Endpoint> expectedProcesses(MonoTime now) const;
  /// Returns the running processes as of the last selection, sorted, with the
  /// local one.
  const std::vector<RunningProcess> &activeProcesses() const { return Active; }

private:
  struct Peer {
    /// Time of the last report, or of the first listing.
    MonoTime LastSeen;
    bool HasReported = false;
    std::string FailureDomain;
    MonoTime ProbedAt{};
  };

  RunningProcess Local;
  std::map<http::Endpoint, Peer> Peers;
  std::set<http::Endpoint> LocalGroup;
  std::vector<RunningProcess> Active;
  std::set<http::Endpoint> Members;
  bool IsListKnown = false;
};

} // namespace sardineford::peers
