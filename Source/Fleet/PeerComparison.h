#pragma once

#include "Sardineford/Common/Time.h"
#include "Sardineford/Fleet/StoreView.h"

#include <deque>

namespace sardineford::fleet {

/// Judges from what peers know whether the own watch of the store is silent.
/// Answers stores that drop their history or lose connections unseen: a watch
/// that was begun meanwhile can wait for long without being told of what was
/// dropped, and so can its successor. Only reading everything settles that.
class PeerComparison {
public:
  enum class Difference {
    /// None, or not for long enough, or settled before.
    None,
    /// A peer knows newer objects.
    Newer,
    /// A peer that seems to be behind stays different: it may know of a
    /// removal.
    Lasting,
  };

  /// A watch begins: only from now on does a difference tell of it.
  void restart();
  /// Compares with one peer. A difference that is returned counts as settled.
  Difference compare(const FeedView &own, const FeedView &peer, MonoTime now);

private:
  /// Since when some peer knows other things, and since when one that is not
  /// behind does. Many peers may know many different things: the time counts
  /// from the first.
  MonoTime DifferentSince{};
  MonoTime NewerSince{};
  /// Digests of peers that were settled.
  std::deque<uint64_t> Settled;
};

} // namespace sardineford::fleet
