#include "StandIns/Proof/Checkers.h"

#include <catch2/catch.hpp>

using namespace sardineford;
using namespace sardineford::standins;
using timeline::EventKind;

namespace {

/// Builds a history; each event is one millisecond after the previous one.
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

  void advance(Milliseconds d) { Now += d.count() * 1'000; }

  History Events;

private:
  int64_t Now = 0;
};

HistoryBuilder historyOfKey(const std::string &key,
                            std::vector<EventKind> kinds) {
  HistoryBuilder b;
  for (EventKind it : kinds) {
    HistoryEvent &e = b.add(it, "x");
    e.Key = key;
    e.Detail = it == EventKind::AnswerReceived ? "not-run" : "";
  }
  return b;
}

} // namespace

TEST_CASE("wrong, lost and failed responses are detected") {
  HistoryBuilder b;
  b.add(EventKind::AnswerReceived, "client").Detail = "whole";
  REQUIRE(checkCompleteResponses(b.Events).empty());
  b.add(EventKind::AnswerReceived, "client").Detail = "wrong";
  b.add(EventKind::AnswerReceived, "client").Detail = "lost";
  b.add(EventKind::RequestFailed, "entry-0").Detail = "no engine";
  b.add(EventKind::RequestFailed, "entry-0").Detail = "the deadline has passed";
  REQUIRE(checkCompleteResponses(b.Events).size() == 3);
}

TEST_CASE("a key that is executed twice is detected") {
  using enum EventKind;
  REQUIRE(checkAtMostOnce(historyOfKey("k", {ServiceRan}).Events).empty());
  REQUIRE(checkAtMostOnce(historyOfKey("k", {ServiceRan, ServiceRan}).Events)
              .size() == 1);
}

TEST_CASE("a false response 'not executed' is detected") {
  using enum EventKind;
  SECTION("executed before the response") {
    auto b = historyOfKey("k", {RequestSent, ServiceRan, AnswerReceived});
    REQUIRE(checkNotExecuted(b.Events).size() == 1);
  }
  SECTION("executed after the response without a further attempt") {
    auto b = historyOfKey("k", {RequestSent, AnswerReceived, ServiceRan});
    REQUIRE(checkNotExecuted(b.Events).size() == 1);
  }
  SECTION("executed after a further attempt") {
    auto b = historyOfKey(
        "k", {RequestSent, AnswerReceived, RequestSent, ServiceRan});
    REQUIRE(checkNotExecuted(b.Events).empty());
  }
}

TEST_CASE("two concurrent orders at one engine are detected") {
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

TEST_CASE("an order sent under a lost lease is detected") {
  HistoryBuilder b;
  auto ran = [&](const std::string &id, uint64_t epoch) {
    HistoryEvent &e = b.add(EventKind::OrderRan, "engine");
    e.Engine = "engine";
    e.Order = id;
    e.Epoch = epoch;
  };
  ran("a", 1);
  ran("b", 2);
  REQUIRE(checkLostLeases(b.Events).empty());
  SECTION("of an older epoch") {
    ran("late", 1);
    REQUIRE(checkLostLeases(b.Events).size() == 1);
  }
  SECTION("after the order was recorded as done") {
    b.add(EventKind::OrderDone, "controller").Order = "c";
    ran("c", 2);
    REQUIRE(checkLostLeases(b.Events).size() == 1);
  }
}

TEST_CASE("work after leaving is detected for the same incarnation only") {
  HistoryBuilder b;
  b.add(EventKind::ProcessStarted, "engine").Detail = "first";
  auto leaving = [&](const std::string &incarnation) {
    HistoryEvent &e = b.add(EventKind::EngineLeaving, "entry-0");
    e.Engine = "engine";
    e.Detail = incarnation;
  };
  auto work = [&] { b.add(EventKind::AttemptStarted, "e").Engine = "engine"; };
  leaving("first");
  b.advance(Milliseconds(1'900));
  work();
  REQUIRE(checkLeavingServers(b.Events, {}).empty());
  b.advance(Milliseconds(200));
  work();
  REQUIRE(checkLeavingServers(b.Events, {}).size() == 1);
  b.add(EventKind::ProcessStarted, "engine").Detail = "second";
  leaving("first");
  b.advance(Milliseconds(5'000));
  work();
  REQUIRE(checkLeavingServers(b.Events, {}).size() == 1);
}

TEST_CASE("a request that an order interrupts is detected") {
  HistoryBuilder b;
  b.add(EventKind::EngineCut, "engine");
  REQUIRE(checkInterruptedRequests(b.Events).size() == 1);
}

TEST_CASE("a connection that breaks at a graceful stop is detected") {
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

TEST_CASE("older and late generations and lost edits are detected") {
  HistoryBuilder b;
  b.add(EventKind::ProcessStarted, "entry-0");
  auto applied = [&](uint64_t g) {
    b.add(EventKind::GenerationApplied, "entry-0").Generation = g;
  };
  applied(1);
  b.add(EventKind::GenerationPublished, "controller-0").Generation = 2;
  SECTION("applied in time") {
    applied(2);
    b.advance(Milliseconds(9'000));
    b.add(EventKind::AnswerReceived, "client");
    REQUIRE(checkGenerations(b.Events, {}).empty());
  }
  SECTION("applied late") {
    b.advance(Milliseconds(9'000));
    applied(2);
    REQUIRE(checkGenerations(b.Events, {}).size() == 1);
  }
  SECTION("an older generation applied") {
    applied(2);
    applied(1);
    REQUIRE(checkGenerations(b.Events, {}).size() == 1);
  }
  SECTION("a lost edit") {
    b.add(EventKind::ObjectAccepted, "client").Detail = "lost";
    REQUIRE(checkGenerations(b.Events, {}).size() == 1);
  }
}
