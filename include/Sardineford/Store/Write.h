#pragma once

#include "Sardineford/Store/ObjectStore.h"

#include <functional>

namespace sardineford::store {

/// Tells from a stored value whether it is the one that this writer wrote.
/// Each write carries an id of its own, so that this can be decided.
using IsOwnWrite = std::function<bool(const std::string &value)>;

/// Conditional update that settles lost replies: after an ambiguous answer it
/// reads the object back and only then decides. Returns the new version.
/// Throws StoreError(VersionConflict) when another writer came first, and
/// StoreError(Ambiguous) when the deadline passes undecided.
Awaitable<uint64_t> putWithReadBack(ObjectStore &store, Object object,
                               IsOwnWrite isOwn, MonoTime deadline);

/// Delay before the next try, growing with each failure up to a cap and
/// spread at random, so that many processes do not return together.
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
