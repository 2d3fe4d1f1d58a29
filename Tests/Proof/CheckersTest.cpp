#include "StandIns/Proof/Checkers.h"

#include <catch2/catch.hpp>

using namespace sardineford;
using namespace sardineford::standins;
using timeline::EventKind;

namespace {

/// Builds histories by hand; each event is a millisecond after the one before.
class HistoryBuilder {
public:
  HistoryEvent &add(EventKind k, const std::string &process) {
    HistoryEvent e;
    e.AtUs = (Now += 1'000);
    e.Process = process;
    e.Kind = std::string(toString(k));
    Events.push_back(e);
    return Events.back();
  }

  void pass(Milliseconds d) { Now += d.count() * 1'000; }

  History Events;

private:
  int64_t Now = 0;
};

HistoryBuilder withKey(const std::string &key, std::vector<EventKind> kinds) {
  HistoryBuilder b;
  for (EventKind it : kinds) {
    HistoryEvent &e = b.add(it, "x");
    e.Key = key;
    e.Detail = it == EventKind::AnswerReceived ? "not-run" : "";
  }
  return b;
}

} // namespace

TEST_CASE("a wrong, a lost and a given up answer are found") {
  HistoryBuilder b;
  b.add(EventKind::AnswerReceived, "client").Detail = "whole";
  REQUIRE(checkWholeAnswers(b.Events).empty());
  b.add(EventKind::AnswerReceived, "client").Detail = "wrong";
  b.add(EventKind::AnswerReceived, "client").Detail = "lost";
  b.add(EventKind::RequestFailed, "entry-0").Detail = "no engine";
  b.add(EventKind::RequestFailed, "entry-0").Detail = "the deadline has passed";
  REQUIRE(checkWholeAnswers(b.Events).size() == 3);
}

TEST_CASE("a key that runs twice is found") {
  using enum EventKind;
  REQUIRE(checkAtMostOnce(withKey("k", {ServiceRan}).Events).empty());
  REQUIRE(
      checkAtMostOnce(withKey("k", {ServiceRan, ServiceRan}).Events).size() ==
      1);
}

TEST_CASE("a false 'not run' is found") {
  using enum EventKind;
  SECTION("ran before the answer") {
    auto b = withKey("k", {RequestSent, ServiceRan, AnswerReceived});
    REQUIRE(checkNotRun(b.Events).size() == 1);
  }
  SECTION("ran after the answer without being sent again") {
    auto b = withKey("k", {RequestSent, AnswerReceived, ServiceRan});
    REQUIRE(checkNotRun(b.Events).size() == 1);
  }
  SECTION("ran after it was sent again") {
    auto b =
        withKey("k", {RequestSent, AnswerReceived, RequestSent, ServiceRan});
    REQUIRE(checkNotRun(b.Events).empty());
  }
}

TEST_CASE("two orders at one engine at a time are found") {
  HistoryBuilder b;
  auto order = [&](EventKind k, const std::string &id) {
    HistoryEvent &e = b.add(k, "engine");
    e.Engine = "engine";
    e.Order = id;
  };
  order(EventKind::OrderRan, "a");
  order(EventKind::OrderEnded, "a");
  order(EventKind::OrderRan, "b");
  REQUIRE(checkConflictingOrders(b.Events).empty());
  order(EventKind::OrderRan, "c");
  REQUIRE(checkConflictingOrders(b.Events).size() == 1);
}

TEST_CASE("an order of a lost holder is found") {
  HistoryBuilder b;
  auto ran = [&](const std::string &id, uint64_t epoch) {
    HistoryEvent &e = b.add(EventKind::OrderRan, "engine");
    e.Engine = "engine";
    e.Order = id;
    e.Epoch = epoch;
  };
  ran("a", 1);
  ran("b", 2);
  REQUIRE(checkLostHolders(b.Events).empty());
  SECTION("of an earlier epoch") {
    ran("late", 1);
    REQUIRE(checkLostHolders(b.Events).size() == 1);
  }
  SECTION("after its end was recorded") {
    b.add(EventKind::OrderDone, "controller").Order = "c";
    ran("c", 2);
    REQUIRE(checkLostHolders(b.Events).size() == 1);
  }
}

TEST_CASE("work after leaving is found, for that incarnation only") {
  HistoryBuilder b;
  b.add(EventKind::ProcessStarted, "engine").Detail = "first";
  auto leaving = [&](const std::string &incarnation) {
    HistoryEvent &e = b.add(EventKind::EngineLeaving, "entry-0");
    e.Engine = "engine";
    e.Detail = incarnation;
  };
  auto work = [&] { b.add(EventKind::AttemptStarted, "e").Engine = "engine"; };
  leaving("first");
  b.pass(Milliseconds(1'900));
  work();
  REQUIRE(checkLeaving(b.Events, {}).empty());
  b.pass(Milliseconds(200));
  work();
  REQUIRE(checkLeaving(b.Events, {}).size() == 1);
  b.add(EventKind::ProcessStarted, "engine").Detail = "second";
  leaving("first");
  b.pass(Milliseconds(5'000));
  work();
  REQUIRE(checkLeaving(b.Events, {}).size() == 1);
}

TEST_CASE("a stream cut by an order is found") {
  HistoryBuilder b;
  b.add(EventKind::EngineCut, "engine");
  REQUIRE(checkNothingCut(b.Events).size() == 1);
}

TEST_CASE("a connection that breaks at a graceful stop is found") {
  HistoryBuilder b;
  HistoryEvent &stop = b.add(EventKind::FaultBrought, "faults");
  stop.Engine = "entry-1";
  stop.Detail = "stop-entry begin";
  HistoryEvent &broke = b.add(EventKind::RequestFailed, "client");
  broke.Engine = "entry-1";
  broke.Detail = "connection-broke";
  REQUIRE(checkGracefulStops(b.Events).size() == 1);
  HistoryEvent &kill = b.add(EventKind::FaultBrought, "faults");
  kill.Engine = "entry-1";
  kill.Detail = "kill-entry begin";
  REQUIRE(checkGracefulStops(b.Events).empty());
}

TEST_CASE("a generation that goes back, or comes late, is found") {
  HistoryBuilder b;
  b.add(EventKind::ProcessStarted, "entry-0");
  auto applied = [&](uint64_t g) {
    b.add(EventKind::GenerationApplied, "entry-0").Generation = g;
  };
  applied(1);
  b.add(EventKind::GenerationPublished, "controller-0").Generation = 2;
  SECTION("in time") {
    applied(2);
    b.pass(Milliseconds(9'000));
    b.add(EventKind::AnswerReceived, "client");
    REQUIRE(checkGenerations(b.Events, {}).empty());
  }
  SECTION("late") {
    b.pass(Milliseconds(9'000));
    applied(2);
    REQUIRE(checkGenerations(b.Events, {}).size() == 1);
  }
  SECTION("back") {
    applied(2);
    applied(1);
    REQUIRE(checkGenerations(b.Events, {}).size() == 1);
  }
  SECTION("an accepted edit that is lost") {
    b.add(EventKind::ObjectAccepted, "client").Detail = "lost";
    REQUIRE(checkGenerations(b.Events, {}).size() == 1);
  }
}
