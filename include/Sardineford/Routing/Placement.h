#pragma once

#include "Sardineford/Common/Time.h"
#include "Sardineford/Routing/SpeedModel.h"
#include "Sardineford/Routing/View.h"

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace sardineford::routing {

/// An engine as placing sees it.
struct EngineCandidate {
  EngineRole Role = EngineRole::Decode;
  bool SameDomain = true;
  /// Prompt tokens in flight there that are not prefilled, of all processes.
  double PromptTokensAhead = 0;
  /// Requests in flight there, of all processes.
  unsigned Requests = 0;
  unsigned Slots = 1;
  /// Expected wait until a slot is free; 0 unless all are taken.
  Seconds SlotWait{0};
  /// Tokens of this request's prompt that are cached there.
  uint64_t CachedTokens = 0;
  /// Tokens of the parts shared with other requests that are not.
  uint64_t UncachedSharedTokens = 0;
  /// All processes send the last shared part there first.
  bool IsPreferred = false;
  /// Observed time against the estimate; 1 when as expected.
  double Slowness = 1;
  /// Share of late attempts that failed, 0 to 1.
  double FailureRatio = 0;
  /// Left out unless nothing else is there.
  bool Ejected = false;
};

struct PromptSize {
  uint64_t PromptTokens = 0;
};

/// What was learned of one service's engines.
struct EngineSpeedModels {
  /// Prefill apart, by prompt tokens.
  SpeedModel Prefill;
  /// First event at a decode engine that prefills itself, by prompt tokens.
  SpeedModel Colocated;
  /// First event at a decode engine that fetches the key-value cache, by
  /// prompt tokens.
  SpeedModel Fetch;
};

/// Starting values for engines of which nothing is known yet.
EngineSpeedModels initialSpeedModels();

/// Where a request goes.
struct PlacementChoice {
  /// Prefills and hands the key-value cache over; empty when the decode
  /// engine prefills itself.
  std::optional<size_t> Prefill;
  size_t Decode = 0;
  Seconds TimeToFirstEvent{0};
  /// Part of that time in which its own prompt is prefilled.
  Seconds PromptPrefillTime{0};
};

/// Chooses by the least estimated time to the first event. Answers loads in
/// which long prompts and many short ones swing within seconds: each request
/// goes where its phase is free, prefill apart or not. Engines that are slow
/// or failing are chosen last. Empty when no engine can take it.
std::optional<PlacementChoice>
placeRequest(const std::vector<EngineCandidate> &engines,
             const PromptSize &demand, const EngineSpeedModels &speeds,
             std::mt19937_64 &random);

} // namespace sardineford::routing
