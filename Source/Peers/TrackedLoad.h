#pragma once

#include "Sardineford/Common/Time.h"
#include "Sardineford/Fleet/WorkInFlight.h"

#include <cstdint>
#include <map>
#include <string>

namespace sardineford::peers {

/// Process and position of a share. A share of a later incarnation, or with a
/// higher sequence, replaces an earlier one.
struct ShareOrigin {
  std::string Node;
  std::string Incarnation;
  uint64_t Sequence = 0;
};

/// Work of all processes at the servers that this process tracks. Each process
/// sends its whole share at a server with every change, so that a lost datagram
/// is corrected by the next one.
class TrackedLoad {
public:
  void update(const ShareOrigin &origin, const std::string &server,
              const fleet::WorkInFlight &work, MonoTime now);
  /// Removes shares that were not repeated in time: the process may be gone, or
  /// another process tracks the server by now.
  void removeStale(MonoTime now);
  /// Returns the work of all processes but one.
  fleet::WorkInFlight totalWithout(const std::string &server,
                                   const std::string &node) const;
  size_t servers() const { return Servers.size(); }

private:
  struct Share {
    std::string Incarnation;
    uint64_t Sequence = 0;
    fleet::WorkInFlight Work;
    MonoTime UpdatedAt;
  };
  /// By process. A share of no work stays until it is stale, so that an earlier
  /// datagram that arrives after it is recognized.
  using Shares = std::map<std::string, Share>;

  std::map<std::string, Shares> Servers;
};

} // namespace sardineford::peers
