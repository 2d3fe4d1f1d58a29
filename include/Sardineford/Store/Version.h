#pragma once

#include <cstdint>

namespace sardineford::store {

/// A store that comes back from an older copy gives revisions out again, with
/// other contents, and counts such returns as eras. Versions of objects and
/// revisions of lists and changes hold the era in their upper 16 bits and the
/// revision in the lower 48, so that their order is that of the pairs.
inline constexpr unsigned RevisionBits = 48;
inline constexpr uint64_t MaxRevision = (uint64_t{1} << RevisionBits) - 1;
inline constexpr uint64_t MaxEra = (uint64_t{1} << (64 - RevisionBits)) - 1;

constexpr uint64_t makeVersion(uint64_t era, uint64_t revision) {
  return (era << RevisionBits) | revision;
}

constexpr uint64_t eraOf(uint64_t version) { return version >> RevisionBits; }

constexpr uint64_t revisionOf(uint64_t version) {
  return version & MaxRevision;
}

} // namespace sardineford::store
