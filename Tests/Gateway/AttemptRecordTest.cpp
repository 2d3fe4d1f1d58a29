#include "Sardineford/Gateway/AttemptRecord.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace sardineford::gateway;

TEST_CASE("the final status is 503 only if no attempt was executed") {
  AttemptRecord r;
  CHECK(finalStatus(r, FailureCause::NoServer) == 503);
  r.setOutcome(r.add("a"), AttemptOutcome::NotExecuted);
  r.setOutcome(r.add("b"), AttemptOutcome::NeverSent);
  CHECK(finalStatus(r, FailureCause::TimedOut) == 503);
  r.setOutcome(r.add("c"), AttemptOutcome::Unknown);
  CHECK(finalStatus(r, FailureCause::Failed) == 502);
  CHECK(finalStatus(r, FailureCause::TimedOut) == 504);
}

TEST_CASE("an attempt without an outcome may have been executed") {
  AttemptRecord r;
  r.add("a");
  CHECK_FALSE(r.noneExecuted());
}

TEST_CASE(
    "the final status reflects an executed attempt in any order of outcomes") {
  rc::check([](const std::vector<int> &outcomes) {
    AttemptRecord r;
    bool mayBeExecuted = false;
    for (int it : outcomes) {
      auto o = static_cast<AttemptOutcome>(std::abs(it % 4));
      mayBeExecuted |=
          o == AttemptOutcome::Unknown || o == AttemptOutcome::Answered;
      r.setOutcome(r.add("s"), o);
    }
    RC_ASSERT((finalStatus(r, FailureCause::Failed) == 503) == !mayBeExecuted);
  });
}

TEST_CASE("a rejected prefill counts as a call and an executed one does not") {
  AttemptRecord r;
  CHECK_FALSE(r.recordPrefill(AttemptOutcome::NeverSent));
  CHECK(r.recordPrefill(AttemptOutcome::NotExecuted));
  CHECK(r.countedCalls() == 1);
  CHECK_FALSE(r.recordPrefill(AttemptOutcome::Answered));
  CHECK(r.countedCalls() == 1);
  r.add("a");
  CHECK(r.countedCalls() == 2);
}

TEST_CASE("only the first executed prefill does not count") {
  AttemptRecord r;
  CHECK_FALSE(r.recordPrefill(AttemptOutcome::Answered));
  CHECK(r.recordPrefill(AttemptOutcome::Answered));
  CHECK(r.recordPrefill(AttemptOutcome::Unknown));
  CHECK(r.countedCalls() == 2);
}
