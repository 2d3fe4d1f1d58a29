#include "Gateway/StreamOrigin.h"

#include "Peers/OriginTable.h"

#include <catch2/catch.hpp>

using namespace sardineford;
using gateway::chooseTakeUpVersion;
using gateway::mayBeOutOfDate;
using gateway::TakeUpEvidence;

namespace {

TakeUpEvidence evidence(std::set<std::string> versions) {
  TakeUpEvidence out;
  out.Versions = std::move(versions);
  out.IsHistoryKnown = true;
  return out;
}

TakeUpEvidence found(std::set<std::string> versions,
                     const std::string &version) {
  TakeUpEvidence out = evidence(std::move(versions));
  out.Found = peers::hashOfVersion(version);
  return out;
}

peers::VersionView peerView(const std::string &version, Milliseconds age) {
  return {.OnlyVersion = peers::hashOfVersion(version), .Age = age};
}

/// What a process knows that has not heard from the store for some time.
TakeUpEvidence outOfDate(const std::string &version) {
  TakeUpEvidence out = evidence({version});
  out.MayHavePeers = true;
  out.ViewAge = Milliseconds(5'000);
  return out;
}

} // namespace

TEST_CASE("a stream that is taken up goes on at the version that began it") {
  CHECK(chooseTakeUpVersion(found({"v1", "v1.1"}, "v1.1")) == "v1.1");
}

TEST_CASE("a stream of an unknown version goes on only if there is one") {
  CHECK(chooseTakeUpVersion(evidence({"v1"})) == "v1");
  CHECK_FALSE(chooseTakeUpVersion(evidence({"v1", "v1.1"})));
  CHECK_FALSE(chooseTakeUpVersion(evidence({})));
}

TEST_CASE("a stream whose version has no server does not go on at another") {
  CHECK_FALSE(chooseTakeUpVersion(found({"v1.1"}, "v1")));
}

TEST_CASE("a stream of an unknown version does not go on if it may have begun "
          "before the process knew the versions") {
  TakeUpEvidence e = evidence({"v1"});
  e.IsHistoryKnown = false;
  CHECK_FALSE(chooseTakeUpVersion(e));
  e.Found = peers::hashOfVersion("v1");
  CHECK(chooseTakeUpVersion(e) == "v1");
}

TEST_CASE("a stream of an unknown version does not go on if it may have begun "
          "at another service") {
  TakeUpEvidence e = evidence({"v1"});
  e.HasOtherServices = true;
  CHECK_FALSE(chooseTakeUpVersion(e));
  e.Found = peers::hashOfVersion("v1");
  CHECK(chooseTakeUpVersion(e) == "v1");
}

TEST_CASE("a stream of an unknown version does not go on if a peer knows more "
          "versions") {
  TakeUpEvidence e = evidence({"v1"});
  e.MayHavePeers = true;
  e.PeerViews = {{.Age = Milliseconds(20)}};
  CHECK_FALSE(chooseTakeUpVersion(e));
  e.PeerViews = {{}};
  CHECK_FALSE(chooseTakeUpVersion(e));
  e.Found = peers::hashOfVersion("v1");
  CHECK(chooseTakeUpVersion(e) == "v1");
}

TEST_CASE("a stream of an unknown version does not go on at a process that is "
          "out of step while a version joins") {
  TakeUpEvidence e = evidence({"v1"});
  e.MayHavePeers = true;
  e.ViewAge = Milliseconds(3'000);
  CHECK_FALSE(chooseTakeUpVersion(e));
  e.Found = peers::hashOfVersion("v1");
  CHECK(chooseTakeUpVersion(e) == "v1");
}

TEST_CASE("a stream of the only version goes on while some peers are silent, "
          "and at a process without peers") {
  TakeUpEvidence e = evidence({"v1"});
  e.MayHavePeers = true;
  e.ViewAge = Milliseconds(20'000);
  e.PeerViews = {peerView("v1", Milliseconds(200))};
  CHECK(chooseTakeUpVersion(e) == "v1");
  e.PeerViews = {};
  e.ViewAge = Milliseconds(200);
  CHECK(chooseTakeUpVersion(e) == "v1");
  e.MayHavePeers = false;
  e.ViewAge = Milliseconds(20'000);
  CHECK(chooseTakeUpVersion(e) == "v1");
}

// Guards against processes that are cut off together and confirm each other's
// only version.
TEST_CASE("a stream of an unknown version does not go on if the peers that "
          "answer are as far behind as this process") {
  TakeUpEvidence e = outOfDate("v1");
  e.PeerViews = {peerView("v1", Milliseconds(5'200))};
  CHECK_FALSE(chooseTakeUpVersion(e));
  e.PeerViews = {peerView("v1", Milliseconds::max()),
                 peerView("v1", Milliseconds(-1))};
  CHECK_FALSE(chooseTakeUpVersion(e));
  e.Found = peers::hashOfVersion("v1");
  CHECK(chooseTakeUpVersion(e) == "v1");
}

TEST_CASE("a stream of an unknown version goes on if a peer has heard of no "
          "other version lately") {
  TakeUpEvidence e = outOfDate("v1");
  e.PeerViews = {peerView("v1", Milliseconds(5'200)),
                 peerView("v1", Milliseconds(300))};
  CHECK(chooseTakeUpVersion(e) == "v1");
}

// Guards against two processes that each know one version, not the same.
TEST_CASE("a stream of an unknown version does not go on if a peer knows "
          "another version only") {
  TakeUpEvidence e = evidence({"v1"});
  e.MayHavePeers = true;
  e.PeerViews = {peerView("v1", Milliseconds(100)),
                 peerView("v1.1", Milliseconds(100))};
  CHECK_FALSE(chooseTakeUpVersion(e));
}

TEST_CASE("the store is asked only if its answer may let a stream go on") {
  TakeUpEvidence e = outOfDate("v1");
  CHECK(mayBeOutOfDate(e));
  e.PeerViews = {peerView("v1", Milliseconds(5'200))};
  CHECK(mayBeOutOfDate(e));
  e.PeerViews = {peerView("v1", Milliseconds(300))};
  CHECK_FALSE(mayBeOutOfDate(e));
  e.PeerViews = {{.Age = Milliseconds(20)}};
  CHECK_FALSE(mayBeOutOfDate(e));
  CHECK_FALSE(mayBeOutOfDate(evidence({"v1", "v1.1"})));
  e = outOfDate("v1");
  e.Found = peers::hashOfVersion("v1");
  CHECK_FALSE(mayBeOutOfDate(e));
}

TEST_CASE("a process that has never heard from the store is in no outage") {
  CHECK_FALSE(gateway::isOutageLikely(Milliseconds(-1)));
  CHECK_FALSE(gateway::isOutageLikely(Milliseconds(1'500)));
  CHECK(gateway::isOutageLikely(Milliseconds(5'000)));
}
