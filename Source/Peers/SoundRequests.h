#pragma once

#include "Sardineford/Common/Time.h"
#include "Sardineford/Fleet/CrashEvidence.h"

#include <optional>
#include <unordered_map>

namespace sardineford::peers {

/// Begins of the last sound answers to requests, each of which may be repeated.
/// Forgets them by generations, so that recording one takes constant time.
class SoundRequests {
public:
  void record(fleet::SuspectKey key, MonoTime begin, MonoTime now);
  /// Returns the begin of the last sound answer that is remembered.
  std::optional<MonoTime> find(fleet::SuspectKey key) const;

private:
  using Generation = std::unordered_map<fleet::SuspectKey, MonoTime>;

  Generation Current;
  Generation Previous;
  MonoTime CurrentSince{};
};

} // namespace sardineford::peers
