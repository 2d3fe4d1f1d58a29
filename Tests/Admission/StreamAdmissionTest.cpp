#include "Sardineford/Admission/StreamAdmission.h"

#include <catch2/catch.hpp>

using namespace sardineford;
using namespace sardineford::admission;
using fleet::WorkPriority;

namespace {

StreamAdmissionInput makeInput(double urgent, double background,
                               double prefill) {
  StreamAdmissionInput input;
  input.FirstEstimate = Seconds(prefill);
  input.UrgentEstimate = Seconds(urgent);
  input.BackgroundEstimate = Seconds(background);
  input.PromptPrefillTime = Seconds(prefill);
  input.Objective = Milliseconds(500);
  input.CallerTimeout = Milliseconds(2'000);
  input.RemainingTime = Milliseconds(10'000);
  return input;
}

} // namespace

TEST_CASE("a request that can meet the objective is urgent") {
  CHECK(decideStream(makeInput(0.2, 1.5, 0.1)).Priority ==
        WorkPriority::Urgent);
  StreamAdmissionInput waited = makeInput(0.2, 0.8, 0.1);
  waited.Elapsed = Milliseconds(450);
  waited.FirstEstimate = Seconds(0.25);
  CHECK(decideStream(waited).Priority == WorkPriority::Background);
}

TEST_CASE("a request beyond the caller timeout is rejected with the backlog as "
          "delay") {
  StreamDecision d = decideStream(makeInput(0.9, 1.9, 0.1));
  CHECK_FALSE(d.Priority);
  CHECK(d.RetryAfter >= Milliseconds(1'000));
  CHECK(d.RetryAfter <= Milliseconds(2'000));
}

TEST_CASE(
    "late requests of all sizes have the same limit on the waiting time") {
  // A small and a large prompt behind the same queue of 0.85 s.
  CHECK(decideStream(makeInput(0.9, 0.90, 0.05)).Priority ==
        WorkPriority::Background);
  StreamAdmissionInput large = makeInput(1.5, 1.45, 0.60);
  large.FirstEstimate = Seconds(1.2);
  CHECK(decideStream(large).Priority == WorkPriority::Background);
  // The same prompts behind a queue of 1 s.
  CHECK_FALSE(decideStream(makeInput(1.1, 1.05, 0.05)).Priority);
  large.UrgentEstimate = large.BackgroundEstimate = Seconds(1.6);
  CHECK_FALSE(decideStream(large).Priority);
}

TEST_CASE("a long prompt precedes all others if it then meets the objective") {
  CHECK(decideStream(makeInput(0.8, 1.2, 0.3)).Priority == WorkPriority::First);
  // It is late even then.
  CHECK(decideStream(makeInput(1.3, 1.4, 1.2)).Priority ==
        WorkPriority::Background);
  CHECK(decideStream(makeInput(0.3, 0.9, 0.05)).Priority ==
        WorkPriority::Urgent);
}

TEST_CASE("a request is rejected immediately if there is no engine") {
  StreamAdmissionInput input = makeInput(0, 0, 0);
  input.FirstEstimate.reset();
  input.UrgentEstimate.reset();
  input.BackgroundEstimate.reset();
  StreamDecision d = decideStream(input);
  CHECK_FALSE(d.Priority);
  CHECK(d.RetryAfter > Milliseconds(0));
}
