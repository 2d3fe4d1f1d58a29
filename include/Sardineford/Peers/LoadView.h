#pragma once

#include "Sardineford/Common/Time.h"
#include "Sardineford/Fleet/WorkInFlight.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace sardineford::peers {

/// Latest report of one peer.
struct PeerReport {
  std::string Node;
  std::string Incarnation;
  uint64_t Sequence = 0;
  /// Work in flight by backend server.
  std::vector<std::pair<std::string, fleet::WorkInFlight>> Servers;
};

/// The newest report of each peer. The report of a peer that has been silent
/// too long does not count, since the process and its work may be gone.
class LoadView {
public:
  /// Applies a report. Returns false if the same report or a newer one is
  /// already applied.
  bool update(PeerReport report, MonoTime now);
  /// Removes the reports of peers that have been silent too long.
  void removeStale(MonoTime now);
  /// Returns the work of all peers at a backend server.
  fleet::WorkInFlight total(const std::string &server) const;
  /// Returns the servers whose total has changed since the last call.
  std::vector<std::string> takeChanged();
  size_t peers() const { return Reports.size(); }

private:
  struct PeerState {
    PeerReport Report;
    MonoTime ReceivedAt;
  };

  void add(const PeerReport &report);
  void subtract(const PeerReport &report);

  std::map<std::string, PeerState> Reports;
  /// Updated with each report: summing all reports each time would cost more
  /// with every further process.
  std::map<std::string, fleet::WorkInFlight> Totals;
  std::vector<std::string> Changed;
};

} // namespace sardineford::peers
