#include "Peers/PeerSet.h"

#include <catch2/catch.hpp>

using namespace sardineford;
using namespace sardineford::peers;

namespace {

http::Endpoint endpoint(uint16_t port) { return {"10.0.0.1", port}; }

RunningProcess process(uint16_t port) { return {"domain", endpoint(port)}; }

} // namespace

TEST_CASE(
    "a listed peer is probed until it reports, and is active from then on") {
  PeerSet s(process(1));
  MonoTime now{std::chrono::seconds(100)};
  s.addListed(endpoint(1), now);
  s.addListed(endpoint(2), now);
  PeerSet::Recipients first = s.selectRecipients(now);
  CHECK(first.SameGroup.empty());
  CHECK(first.Silent == std::vector<http::Endpoint>{endpoint(2)});
  CHECK(s.selectRecipients(now + Milliseconds(100)).Silent.empty());
  CHECK(s.selectRecipients(now + Milliseconds(600)).Silent.size() == 1);
  s.recordReport(process(2), now + Milliseconds(700));
  PeerSet::Recipients then = s.selectRecipients(now + Milliseconds(800));
  CHECK(then.SameGroup == std::vector<http::Endpoint>{endpoint(2)});
  CHECK(then.Silent.empty());
  CHECK(s.isInGroup(endpoint(2)));
}

// Processes with different lists of active peers compute different groups and
// may not receive each other's reports; they probe each other before an
// exclusion.
TEST_CASE("a silent peer is probed before it is excluded") {
  PeerSet s(process(1));
  MonoTime now{std::chrono::seconds(100)};
  s.recordReport(process(2), now);
  CHECK(s.selectRecipients(now + Milliseconds(800)).Silent.empty());
  PeerSet::Recipients probed = s.selectRecipients(now + Milliseconds(1'000));
  CHECK(probed.Silent.size() == 1);
  CHECK(probed.SameGroup.size() == 1);
  CHECK(s.selectRecipients(now + Milliseconds(2'100)).SameGroup.empty());
}

// A process that was frozen or disconnected for some seconds has received no
// reports; it must rejoin before the next read of the list.
TEST_CASE("silent peers are probed at increasing intervals") {
  PeerSet s(process(1));
  MonoTime start{std::chrono::seconds(100)};
  s.recordReport(process(2), start);
  int probes = 0;
  for (Milliseconds t{0}; t < Milliseconds(20'000); t += Milliseconds(100))
    probes += static_cast<int>(s.selectRecipients(start + t).Silent.size());
  CHECK(probes > 5);
  CHECK(probes < 25);
  s.recordReport(process(2), start + Milliseconds(20'000));
  CHECK(s.selectRecipients(start + Milliseconds(20'100)).SameGroup.size() == 1);
  CHECK(s.selectRecipients(start + Milliseconds(90'000)).Silent.empty());
  CHECK(s.empty());
}

TEST_CASE("reports to many processes are relayed through groups") {
  PeerSet s(process(1));
  MonoTime now{std::chrono::seconds(100)};
  for (uint16_t i = 2; i <= 58; ++i)
    s.recordReport(process(i), now);
  PeerSet::Recipients to = s.selectRecipients(now);
  CHECK(to.SameGroup.size() + to.OtherGroups.size() < 18);
  CHECK(to.OtherGroups.size() >= 7);
}

TEST_CASE("the processes of a failure domain share groups") {
  constexpr uint16_t Processes = 64;
  PeerSet s({"domain-1", endpoint(1)});
  MonoTime now{std::chrono::seconds(100)};
  for (uint16_t i = 0; i < Processes; ++i)
    s.recordReport({"domain-" + std::to_string(i % 4), endpoint(i)}, now);
  PeerSet::Recipients to = s.selectRecipients(now);
  CHECK(to.SameGroup.size() == 7);
  for (const http::Endpoint &it : to.SameGroup)
    CHECK(it.Port % 4 == 1);
}

// Processes that start together must agree on their order before they have
// heard of each other.
TEST_CASE("listed processes are expected until their reports are overdue") {
  PeerSet s(process(2));
  MonoTime now{std::chrono::seconds(100)};
  s.addListed(endpoint(1), now);
  s.recordReport(process(3), now + Milliseconds(1'500));
  CHECK(s.expectedProcesses(now + Milliseconds(1'900)) ==
        std::vector<http::Endpoint>{endpoint(1), endpoint(2), endpoint(3)});
  CHECK(s.expectedProcesses(now + Milliseconds(2'100)) ==
        std::vector<http::Endpoint>{endpoint(2), endpoint(3)});
}

TEST_CASE("relays are in doubt when many peers fall silent at once") {
  PeerSet peers({"domain", {"10.1.0.0", 1}});
  MonoTime start{std::chrono::seconds(100)};
  auto report = [&](int from, int until, MonoTime now) {
    for (int i = from; i < until; ++i)
      peers.recordReport({"domain", {"10.0.0." + std::to_string(i), 1}}, now);
  };
  report(0, 60, start);
  report(2, 60, start + Milliseconds(1'000));
  CHECK_FALSE(
      peers.selectRecipients(start + Milliseconds(1'000)).AreRelaysInDoubt);
  report(30, 60, start + Milliseconds(2'000));
  CHECK(peers.selectRecipients(start + Milliseconds(2'000)).AreRelaysInDoubt);
  report(30, 60, start + Milliseconds(3'500));
  CHECK_FALSE(
      peers.selectRecipients(start + Milliseconds(3'500)).AreRelaysInDoubt);
}

TEST_CASE("a silent peer stays a member until it leaves the list") {
  PeerSet s(process(1));
  MonoTime now{std::chrono::seconds(100)};
  CHECK_FALSE(s.members());
  s.recordReport(process(2), now);
  CHECK_FALSE(s.members());
  s.applyList({endpoint(1), endpoint(3)}, now);
  CHECK(s.members() == 3);
  now += std::chrono::seconds(100);
  s.selectRecipients(now);
  CHECK(s.members() == 3);
  s.recordReport(process(4), now);
  CHECK(s.members() == 4);
  s.applyList({endpoint(1)}, now);
  CHECK(s.members() == 2);
}
