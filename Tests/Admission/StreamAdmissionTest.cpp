#include "Sardineford/Admission/StreamAdmission.h"

#include <catch2/catch.hpp>

using namespace sardineford;
using namespace sardineford::admission;
using fleet::WorkRank;

namespace {

StreamAdmissionInput outlook(double urgent, double background, double own) {
  StreamAdmissionInput o;
  o.FirstEstimate = Seconds(own);
  o.UrgentEstimate = Seconds(urgent);
  o.BackgroundEstimate = Seconds(background);
  o.PromptPrefillTime = Seconds(own);
  o.Objective = Milliseconds(500);
  o.CallerTimeout = Milliseconds(2'000);
  o.RemainingTime = Milliseconds(10'000);
  return o;
}

} // namespace

TEST_CASE("work that can be in time goes first") {
  CHECK(decideStream(outlook(0.2, 1.5, 0.1)).Priority == WorkRank::Urgent);
  StreamAdmissionInput waited = outlook(0.2, 0.8, 0.1);
  waited.Elapsed = Milliseconds(400);
  CHECK(decideStream(waited).Priority == WorkRank::Background);
}

TEST_CASE("what nobody will wait for is refused with the time of the backlog") {
  StreamDecision d = decideStream(outlook(0.9, 1.9, 0.1));
  CHECK_FALSE(d.Priority);
  CHECK(d.RetryAfter >= Milliseconds(1'000));
  CHECK(d.RetryAfter <= Milliseconds(2'000));
}

TEST_CASE("late work waits equally long whatever its size") {
  // The same queue of 0.85 s, a small and a large prompt.
  CHECK(decideStream(outlook(0.9, 0.90, 0.05)).Priority ==
        WorkRank::Background);
  CHECK(decideStream(outlook(1.5, 1.45, 0.60)).Priority ==
        WorkRank::Background);
  // The same queue of 1 s.
  CHECK_FALSE(decideStream(outlook(1.1, 1.05, 0.05)).Priority);
  CHECK_FALSE(decideStream(outlook(1.6, 1.60, 0.60)).Priority);
}

TEST_CASE("a long prompt begins at once where that makes it in time") {
  CHECK(decideStream(outlook(0.8, 1.2, 0.3)).Priority == WorkRank::First);
  CHECK(decideStream(outlook(0.8, 0.9, 0.6)).Priority == WorkRank::Background);
  CHECK(decideStream(outlook(0.3, 0.9, 0.05)).Priority == WorkRank::Urgent);
}

TEST_CASE("without an engine a request is refused at once") {
  StreamAdmissionInput o = outlook(0, 0, 0);
  o.FirstEstimate.reset();
  o.UrgentEstimate.reset();
  o.BackgroundEstimate.reset();
  StreamDecision d = decideStream(o);
  CHECK_FALSE(d.Priority);
  CHECK(d.RetryAfter > Milliseconds(0));
}
