#pragma once

#include "Sardineford/Common/Time.h"
#include "Sardineford/Fleet/WorkInFlight.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace sardineford::peers {

/// What one process told last.
struct PeerReport {
  std::string Node;
  std::string Incarnation;
  uint64_t Sequence = 0;
  std::vector<std::pair<std::string, fleet::WorkInFlight>> Servers;
};

/// The newest report of each peer. A peer that is silent for some time counts
/// no more: it may be gone, and its work with it.
class LoadView {
public:
  /// Returns false when a newer report is known already.
  bool take(PeerReport report, MonoTime now);
  /// Forgets peers that have been silent too long.
  void forget(MonoTime now);
  /// Sum over all peers of the work at a backend server.
  fleet::WorkInFlight total(const std::string &server) const;
  /// Servers of which the sum has changed since this was asked last.
  std::vector<std::string> takeChanged();
  size_t peers() const { return Reports.size(); }

private:
  struct Known {
    PeerReport Report;
    MonoTime Heard;
  };

  void add(const PeerReport &report);
  void subtract(const PeerReport &report);

  std::map<std::string, Known> Reports;
  /// Kept up with each report: summing all of them again for each would cost
  /// the more the more processes there are.
  std::map<std::string, fleet::WorkInFlight> Totals;
  std::vector<std::string> Changed;
};

} // namespace sardineford::peers
