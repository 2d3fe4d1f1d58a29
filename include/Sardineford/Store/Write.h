#pragma once

#include "Sardineford/Store/ObjectStore.h"

#include <functional>

namespace sardineford::store {

/// Returns whether a stored value was written by this writer. Each write
/// carries a unique id to make this decidable.
using IsOwnWrite = std::function<bool(const std::string &value)>;

/// Conditional update that resolves lost replies: after an ambiguous outcome,
/// it reads the object back to determine whether the write took effect. Returns
/// the new version. Throws StoreError(VersionConflict) if another writer
/// changed the object first, and StoreError(Ambiguous) if the outcome is still
/// unknown at the deadline.
Awaitable<uint64_t> putWithReadBack(ObjectStore &store, Object object,
                                    IsOwnWrite isOwn, MonoTime deadline);

/// Exponential backoff: the delay before the next retry grows with each failure
/// up to a cap. Jitter keeps many processes from retrying at the same time.
class Backoff {
public:
  Backoff(Milliseconds first, Milliseconds cap) : First(first), Cap(cap) {}

  Milliseconds next();
  void reset() { Failures = 0; }

private:
  Milliseconds First;
  Milliseconds Cap;
  int Failures = 0;
};

} // namespace sardineford::store
