#pragma once

#include "Peers/VersionView.h"
#include "Sardineford/Common/Time.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sardineford::gateway {

/// What a process knows of where a stream that is taken up can have begun.
struct TakeUpEvidence {
  /// Software versions that may have begun it.
  std::set<std::string> Versions;
  /// Hash of the version that did, if some process knows it.
  std::optional<uint32_t> Found;
  /// `Versions` has all that were in service while it can have begun.
  bool IsHistoryKnown = false;
  /// It may have begun at a service that the request does not go to.
  bool HasOtherServices = false;
  /// There may be other processes, which can have begun it.
  bool MayHavePeers = false;
  /// Age of what this process knows of the servers.
  Milliseconds ViewAge{0};
  /// What the processes that were asked know of the versions.
  std::vector<peers::VersionView> PeerViews;
};

/// Returns what a process with these versions tells its peers. A service that
/// shares its streams with another one counts as one with several versions.
peers::VersionView versionViewOf(const std::set<std::string> &versions,
                                 bool sharesStreams, Milliseconds age);

/// Returns whether the store has not confirmed what a process knows for so long
/// that others would not take its only version as proof. Streams that begin or
/// run meanwhile can be taken up with their records only.
bool isOutageLikely(Milliseconds viewAge);

/// Returns whether nothing but the age of what the processes know speaks
/// against the only version.
bool mayBeOutOfDate(const TakeUpEvidence &evidence);

/// Chooses the software version at which a stream that is taken up goes on.
/// Returns nothing if the request must be rejected: no server has the version,
/// or it is not known and others are possible.
std::optional<std::string> chooseTakeUpVersion(const TakeUpEvidence &evidence);

} // namespace sardineford::gateway
