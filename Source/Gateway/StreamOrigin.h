#pragma once

#include "Sardineford/Common/Time.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace sardineford::gateway {

/// What a process knows of where a stream that is taken up can have begun.
struct TakeUpEvidence {
  /// Software versions that may have begun it.
  std::set<std::string> Versions;
  /// Hash of the version that did, if some process knows it.
  std::optional<uint32_t> Found;
  /// `Versions` has all that were in service while it can have begun.
  bool IsHistoryKnown = false;
  /// Another process knows of more versions.
  bool PeersKnowSeveral = false;
  /// It may have begun at a service that the request does not go to.
  bool HasOtherServices = false;
  /// Processes that said whether they know of more versions, and whether there
  /// may be any other process.
  unsigned PeersTold = 0;
  bool MayHavePeers = false;
  /// Age of what this process knows of the servers.
  Milliseconds ViewAge{0};
};

/// Chooses the software version at which a stream that is taken up goes on.
/// Returns nothing if the request must be rejected: no server has the version,
/// or it is not known and others are possible.
std::optional<std::string> chooseTakeUpVersion(const TakeUpEvidence &evidence);

} // namespace sardineford::gateway
