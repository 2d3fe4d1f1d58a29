#pragma once

#include "Sardineford/Common/Time.h"
#include "Sardineford/Fleet/WorkInFlight.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sardineford::peers {

/// What one process told last.
struct PeerReport {
  std::string Node;
  std::string Incarnation;
  uint64_t Sequence = 0;
  std::map<std::string, fleet::WorkInFlight> Servers;
};

/// The newest report of each peer. A peer that is silent for some time counts
/// no more: it may be gone, and its work with it.
class LoadView {
public:
  /// Returns false when a newer report is known already.
  bool take(PeerReport report, MonoTime now);
  /// Forgets peers that have been silent too long.
  void forget(MonoTime now);
  /// Sum over all peers, by backend server.
  std::map<std::string, fleet::WorkInFlight> total() const;
  size_t peers() const { return Reports.size(); }

private:
  struct Known {
    PeerReport Report;
    MonoTime Heard;
  };

  std::map<std::string, Known> Reports;
};

} // namespace sardineford::peers
