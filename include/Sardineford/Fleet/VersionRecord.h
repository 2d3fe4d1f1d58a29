#pragma once

#include "Sardineford/Common/Time.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace sardineford::fleet {

/// The software versions of a service's servers from which a caller may take up
/// a stream, as an object in the store. It outlives all processes of the fleet.
struct VersionRecord {
  std::string Service;
  std::set<std::string> Versions;
  /// Version of the object in the store; 0 if there is none.
  uint64_t Version = 0;
};

/// Kind of these objects.
inline constexpr const char *VersionRecordKind = "sardineford-versions";

/// Returns the name of a service's object. A service may have any name.
std::string recordName(const std::string &service);
std::string encodeRecord(const VersionRecord &record);
/// Throws if the text is not a record.
VersionRecord decodeRecord(const std::string &text, uint64_t version);

/// What a process knows of the software versions of one service.
struct KnownVersions {
  /// Versions of servers with an entry.
  std::set<std::string> Present;
  /// With those of servers that departed a short while ago.
  std::set<std::string> Possible;
  std::set<std::string> Recorded;
};

enum class RecordChange {
  None,
  /// A version may get streams and is not recorded.
  Add,
  /// No caller can come back with a stream of a recorded version.
  Remove,
};

RecordChange neededChange(const KnownVersions &known);

/// Time for which a process leaves a change to those before it in the order of
/// the fleet. The first one writes at once, and the others hear of it.
Milliseconds changeDelay(RecordChange change, unsigned rank);

/// A server of a version that is not recorded gets no streams for this time. If
/// the store cannot be written for longer, the streams matter more.
constexpr Milliseconds MaxRecordDelay{3'000};

} // namespace sardineford::fleet
