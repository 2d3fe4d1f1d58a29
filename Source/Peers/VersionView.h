#pragma once

#include "Sardineford/Common/Time.h"

#include <cstdint>
#include <optional>
#include <span>

namespace sardineford::peers {

/// A stream cannot have begun at a server that joined later than this and have
/// been broken and taken up already.
constexpr Milliseconds MaxVersionViewAge{1'000};

/// What a process knows of the versions that may have begun streams of a
/// service.
struct VersionView {
  /// hashOfVersion of the only one; empty if several are possible.
  std::optional<uint32_t> OnlyVersion;
  /// Time since the store confirmed what the process knows; negative if it
  /// never has.
  Milliseconds Age = Milliseconds::max();
};

/// Returns whether one version alone can have begun the streams that are taken
/// up now: this process and its peers know no other, and one of them would. The
/// peers of a process that is cut off may be cut off with it.
bool isOnlyVersion(const VersionView &own, std::span<const VersionView> peers);

} // namespace sardineford::peers
