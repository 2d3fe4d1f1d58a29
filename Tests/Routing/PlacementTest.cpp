#include "Sardineford/Routing/Placement.h"

#include "Sardineford/Routing/ServiceChoice.h"

#include <catch2/catch.hpp>

#include <map>

using namespace sardineford;
using namespace sardineford::routing;

namespace {

EngineCandidate engine(EngineRole role) {
  EngineCandidate e;
  e.Role = role;
  e.Slots = 64;
  return e;
}

std::optional<PlacementChoice> place(const std::vector<EngineCandidate> &v,
                                     uint64_t tokens) {
  std::mt19937_64 random(1);
  return placeRequest(v, {tokens}, initialSpeedModels(), random);
}

} // namespace

TEST_CASE("a request without a decode engine is not placed") {
  CHECK_FALSE(place({engine(EngineRole::Prefill)}, 1'000));
  CHECK_FALSE(place({}, 1'000));
}

TEST_CASE(
    "a long prompt gets a separate prefill while the decode engine is busy") {
  std::vector<EngineCandidate> v = {engine(EngineRole::Prefill),
                                    engine(EngineRole::Decode)};
  v[1].Requests = 30;
  CHECK(place(v, 12'000)->Prefill == 0);
}

TEST_CASE("a key-value cache is not fetched by another software version") {
  std::vector<EngineCandidate> v = {engine(EngineRole::Prefill),
                                    engine(EngineRole::Decode),
                                    engine(EngineRole::Decode)};
  v[1].Requests = 30;
  v[2].Requests = 30;
  v[1].SoftwareVersion = 1;
  v[2].SoftwareVersion = 2;
  CHECK_FALSE(place(v, 12'000)->Prefill);
  v[0].SoftwareVersion = 2;
  CHECK(place(v, 12'000)->Prefill == 0);
  CHECK(place(v, 12'000)->Decode == 2);
}

TEST_CASE("a prompt is prefilled at the decode engine while prefill queues are "
          "long") {
  std::vector<EngineCandidate> v = {engine(EngineRole::Prefill),
                                    engine(EngineRole::Decode)};
  v[0].PromptTokensAhead = 200'000;
  CHECK_FALSE(place(v, 2'000)->Prefill);
}

TEST_CASE("an engine with cached parts is chosen until its queue is too long") {
  std::vector<EngineCandidate> v = {engine(EngineRole::Decode),
                                    engine(EngineRole::Decode)};
  v[1].CachedTokens = 4'000;
  v[0].UncachedSharedTokens = 4'000;
  v[1].PromptTokensAhead = 2'000;
  CHECK(place(v, 5'000)->Decode == 1);
  v[1].PromptTokensAhead = 50'000;
  CHECK(place(v, 5'000)->Decode == 0);
}

TEST_CASE("failing, slow and ejected engines are chosen last") {
  std::vector<EngineCandidate> v = {engine(EngineRole::Decode),
                                    engine(EngineRole::Decode)};
  v[0].FailureRatio = 0.5;
  CHECK(place(v, 1'000)->Decode == 1);
  v[0] = engine(EngineRole::Decode);
  v[0].Slowness = 4;
  CHECK(place(v, 1'000)->Decode == 1);
  v[0] = engine(EngineRole::Decode);
  v[0].Ejected = true;
  CHECK(place(v, 1'000)->Decode == 1);
  // An ejected engine is chosen if there is no other.
  CHECK(place({v[0]}, 1'000)->Decode == 0);
}

TEST_CASE("a long prompt is not prefilled beside streams that it would make "
          "late") {
  std::vector<EngineCandidate> v = {engine(EngineRole::Prefill),
                                    engine(EngineRole::Decode)};
  v[0].PromptTokensAhead = 15'000;
  v[1].Requests = 1;
  std::mt19937_64 random(1);
  RequestProfile prompt{6'000, Seconds(0)};
  CHECK_FALSE(placeRequest(v, prompt, initialSpeedModels(), random)->Prefill);
  prompt.PauseObjective = Seconds(0.15);
  CHECK(placeRequest(v, prompt, initialSpeedModels(), random)->Prefill == 0);
  // The pauses stay within a longer objective.
  prompt.PauseObjective = Seconds(0.6);
  CHECK_FALSE(placeRequest(v, prompt, initialSpeedModels(), random)->Prefill);
}

TEST_CASE("a prompt is prefilled at the engine without running streams") {
  std::vector<EngineCandidate> v(2, engine(EngineRole::Decode));
  v[0].Requests = 4;
  v[1].PromptTokensAhead = v[1].QueuedPromptTokens = 1'500;
  std::mt19937_64 random(1);
  RequestProfile prompt{3'000, Seconds(0.15)};
  CHECK(placeRequest(v, prompt, initialSpeedModels(), random)->Decode == 1);
}

TEST_CASE("a prefilled prompt does not go where prompts would delay its "
          "events") {
  std::vector<EngineCandidate> v(2, engine(EngineRole::Decode));
  v[0].QueuedPromptTokens = 5'000;
  v[1].Requests = 6;
  std::mt19937_64 random(1);
  RequestProfile prompt{3'000, Seconds(0.15)};
  CHECK(chooseFetchEngine(v, prompt, initialSpeedModels(), random) == 1);
  v.push_back(engine(EngineRole::Prefill));
  CHECK(chooseFetchEngine(v, prompt, initialSpeedModels(), random) == 1);
  CHECK_FALSE(chooseFetchEngine({v[2]}, prompt, initialSpeedModels(), random));
}

TEST_CASE("requests spread over equal engines") {
  std::vector<EngineCandidate> v(6, engine(EngineRole::Decode));
  std::mt19937_64 random(1);
  std::map<size_t, int> chosen;
  for (int i = 0; i < 600; ++i)
    ++chosen[placeRequest(v, {1'000}, initialSpeedModels(), random)->Decode];
  for (const auto &[i, n] : chosen)
    CHECK(n > 50);
}

TEST_CASE("the speed model converges to the observed times") {
  SpeedModel m(Seconds(0.01), Seconds(20e-6), 4'000);
  for (int i = 0; i < 300; ++i) {
    double tokens = 500.0 + 100.0 * (i % 50);
    m.observe(tokens, Seconds(0.05 + 50e-6 * tokens));
  }
  CHECK(m.perUnit().count() == Approx(50e-6).epsilon(0.1));
  CHECK(m.estimate(2'000).count() == Approx(0.15).epsilon(0.1));
}

TEST_CASE("one stall changes the speed model little") {
  SpeedModel m(Seconds(0.01), Seconds(20e-6), 4'000);
  for (int i = 0; i < 100; ++i)
    m.observe(1'000.0 + 100 * (i % 20), Seconds(0.03 + 2e-6 * (i % 20)));
  double before = m.estimate(2'000).count();
  m.observe(2'000, Seconds(30));
  CHECK(m.estimate(2'000).count() < 1.3 * before);
}

TEST_CASE("a call goes to the least loaded instance that does not fail") {
  std::mt19937_64 random(1);
  std::vector<ServiceCandidate> v(3);
  for (ServiceCandidate &it : v)
    it.Slots = 6;
  v[0].Requests = 6;
  v[1].FailureRatio = 0.5;
  for (int i = 0; i < 20; ++i)
    CHECK(chooseServiceInstance(v, random) == 2);
  CHECK_FALSE(chooseServiceInstance({}, random));
}

// Guards against requests to an instance that others fill or that is slow, and
// against one that gets none since it is slow.
TEST_CASE("what an instance reports counts in the choice by its weight") {
  std::mt19937_64 random(1);
  std::vector<ServiceCandidate> v(2);
  for (ServiceCandidate &it : v)
    it.Slots = 6;
  v[0].ReportedRequests = 5;
  v[0].ReportWeight = 0.5;
  v[1].Requests = 1;
  CHECK(chooseServiceInstance(v, random) == 1);
  v[0].ReportedRequests = 0;
  v[0].TimeRatio = 4;
  v[1].Requests = 0;
  CHECK(chooseServiceInstance(v, random) == 1);
  v[1].Requests = 6;
  CHECK(chooseServiceInstance(v, random) == 0);
}
