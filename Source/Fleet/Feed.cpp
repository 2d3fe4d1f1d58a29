#include "Fleet/Feed.h"

#include "Sardineford/Store/Version.h"

#include <algorithm>

namespace sardineford::fleet {

namespace {

/// A watcher sends a change to the others within this time after another
/// watcher has reported it: they collect changes at different times.
constexpr Milliseconds PublishedNewerDelay{500};

} // namespace

bool noteEra(Feed &feed, uint64_t revision) {
  uint64_t era = store::eraOf(revision);
  bool isFirst = !feed.Era;
  if (!isFirst && era <= *feed.Era)
    return false;
  feed.Era = era;
  return !isFirst;
}

bool isOfEndedEra(const Feed &feed, uint64_t revision) {
  return feed.Era && store::eraOf(revision) < *feed.Era;
}

void recordConfirmation(Feed &feed, const FeedView &peer, MonoTime now) {
  if (peer.AnswerAge && feed.Comparison.hasPassed(peer.Digest))
    feed.ConfirmedToPeerAt =
        std::max(feed.ConfirmedToPeerAt, now - *peer.AnswerAge);
}

MonoTime confirmedAt(const Feed &feed) {
  return std::max(feed.ConfirmedAt, feed.ConfirmedToPeerAt);
}

FeedView viewOf(const Feed &feed, MonoTime now) {
  FeedView out = feed.Objects.view();
  out.Watches = feed.Duty.mustWatch(now);
  bool isConfirmed =
      !feed.Lost && feed.ConfirmedAt != MonoTime{} && out.Watches;
  if (isConfirmed)
    out.AnswerAge = toMilliseconds(now - feed.ConfirmedAt);
  return out;
}

bool learnsFromPeers(const Feed &feed, MonoTime now) {
  bool watches = feed.Duty.mustWatch(now) && !feed.Lost && !feed.RateLimited;
  bool isLoaded = feed.ConfirmedAt != MonoTime{};
  return isLoaded && !watches;
}

std::vector<store::Object> applyPublished(Feed &feed,
                                          const PublishedChanges &published) {
  std::vector<store::Object> news = feed.Objects.applyNews(published.Changes);
  bool isTold = published.Publisher.Digest != 0;
  if (!isTold || published.Publisher.Digest == feed.Objects.view().Digest)
    feed.Comparison.reset();
  return news;
}

store::Changes applyList(Feed &feed, const store::ObjectList &list) {
  store::Changes out{list.Revision, {}};
  bool isFirst = feed.ConfirmedAt == MonoTime{};
  if (isFirst)
    feed.Published.replaceAll(list);
  else
    out.Objects = feed.Objects.changesTo(list);
  feed.Objects.replaceAll(list);
  return out;
}

PeerComparison::Difference compareWithPeer(Feed &feed, const FeedView &peer,
                                           MonoTime now) {
  std::vector<uint64_t> states = feed.Objects.takeStates();
  states.push_back(feed.Objects.view().Digest);
  // A peer without objects has just started.
  if (peer.Digest != 0)
    feed.Comparison.recordStates(states, peer, now);
  // A feed without a watch call in progress reads from the store soon anyway.
  if (feed.Lost || !feed.IsWatching)
    return PeerComparison::Difference::None;
  bool watches = feed.Duty.mustWatch(now);
  PeerComparison::Difference found = feed.Comparison.compare(
      feed.Objects.view(), peer, now,
      watches ? PeerComparison::NewerDelay : PublishedNewerDelay);
  bool hasMissed = found == PeerComparison::Difference::None && watches &&
                   feed.Comparison.disagreesForLong(peer, now);
  return hasMissed ? PeerComparison::Difference::Persistent : found;
}

} // namespace sardineford::fleet
