#include "Fleet/Feed.h"

#include <catch2/catch.hpp>

using namespace sardineford;
using namespace sardineford::fleet;

namespace {

constexpr MonoTime Start{std::chrono::seconds(100)};
using Difference = PeerComparison::Difference;

PublishedChanges changeOf(KnownObjects &publisher, uint64_t version) {
  store::Changes changes{
      version, {{"", "server-" + std::to_string(version), version, "entry"}}};
  publisher.applyNews(changes);
  return {false, changes, Milliseconds(0), publisher.view()};
}

/// A feed of a process that is no watcher and waits for its peers.
Feed waitingFeed() {
  Feed out;
  out.Duty.setPosition({195, 100});
  out.Duty.recordPeerAnswer(0, Start, Start, 0.5);
  out.ConfirmedAt = Start;
  out.IsWatching = true;
  return out;
}

} // namespace

TEST_CASE("later changes do not hide a missed one") {
  KnownObjects publisher;
  Feed feed = waitingFeed();
  changeOf(publisher, 1);
  Difference found = Difference::None;
  for (uint64_t i = 2; i < 8; ++i) {
    MonoTime now = Start + Milliseconds(150) * i;
    applyPublished(feed, changeOf(publisher, i));
    found = std::max(found, compareWithPeer(feed, publisher.view(), now));
  }
  CHECK(found == Difference::Newer);
}

TEST_CASE("a process that misses nothing does not read while changes arrive") {
  KnownObjects publisher;
  Feed feed = waitingFeed();
  for (uint64_t i = 1; i < 50; ++i) {
    MonoTime now = Start + Milliseconds(150) * i;
    PublishedChanges changes = changeOf(publisher, i);
    // A peer has the change a moment earlier.
    CHECK(compareWithPeer(feed, publisher.view(), now) == Difference::None);
    applyPublished(feed, changes);
  }
}

// Guards against a process that has lost the store and counts as up to date
// since its peers hear from it.
TEST_CASE("the answer that a peer had confirms only what this process knows "
          "too") {
  KnownObjects publisher;
  Feed feed = waitingFeed();
  applyPublished(feed, changeOf(publisher, 1));
  auto report = [&](Milliseconds at) {
    FeedView peer = publisher.view();
    peer.AnswerAge = Milliseconds(100);
    compareWithPeer(feed, peer, Start + at);
    recordConfirmation(feed, peer, Start + at);
    return confirmedAt(feed);
  };
  CHECK(report(Milliseconds(500)) == Start + Milliseconds(400));
  PublishedChanges missed = changeOf(publisher, 2);
  CHECK(report(Milliseconds(1'000)) == Start + Milliseconds(400));
  CHECK(report(Milliseconds(5'000)) == Start + Milliseconds(400));
  applyPublished(feed, missed);
  CHECK(report(Milliseconds(5'500)) == Start + Milliseconds(5'400));
}

TEST_CASE("a peer that is a short while behind confirms what this process "
          "knows") {
  KnownObjects publisher;
  Feed feed = waitingFeed();
  applyPublished(feed, changeOf(publisher, 1));
  FeedView behind = publisher.view();
  behind.AnswerAge = Milliseconds(100);
  compareWithPeer(feed, behind, Start);
  applyPublished(feed, changeOf(publisher, 2));
  MonoTime now = Start + Milliseconds(600);
  compareWithPeer(feed, behind, now);
  recordConfirmation(feed, behind, now);
  CHECK(confirmedAt(feed) == now - Milliseconds(100));
}
