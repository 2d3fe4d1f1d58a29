#pragma once

#include "Sardineford/Common/Time.h"
#include "Sardineford/Routing/SpeedModel.h"
#include "Sardineford/Routing/View.h"

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace sardineford::routing {

/// State of an engine that placement decides by. Counts cover the requests of
/// all processes.
struct EngineCandidate {
  EngineRole Role = EngineRole::Decode;
  /// Identifies the software version. An engine cannot use the key-value cache
  /// of another version.
  uint64_t SoftwareVersion = 0;
  bool SameDomain = true;
  /// Prompt tokens that the engine prefills before those of this request.
  double PromptTokensAhead = 0;
  /// Prompt tokens sent to the engine and not prefilled yet, of all priorities.
  double QueuedPromptTokens = 0;
  /// Requests in flight at the engine.
  unsigned Requests = 0;
  unsigned Slots = 1;
  /// Expected wait for a free slot; 0 while a slot is free.
  Seconds SlotWait{0};
  /// Tokens of this request's prompt that the engine has cached.
  uint64_t CachedTokens = 0;
  /// Tokens of prompt parts shared with other requests that the engine has not
  /// cached.
  uint64_t UncachedSharedTokens = 0;
  /// Preferred engine of the last shared prompt part by rendezvous hashing, the
  /// same in all processes.
  bool IsPreferred = false;
  /// Observed time divided by the estimate; 1 when they agree.
  double Slowness = 1;
  /// Ratio of recent attempts that failed, 0 to 1.
  double FailureRatio = 0;
  /// Gets a high cost, so that the engine is chosen only if no other is
  /// available.
  bool Ejected = false;
};

/// What placement needs to know of a request.
struct RequestProfile {
  uint64_t PromptTokens = 0;
  /// Longest time between two events for which a stream is in time; 0 for none.
  /// The streams that run at an engine are taken to have the same one.
  Seconds PauseObjective{0};
  /// Expected time from the first event to the last.
  Seconds StreamDuration{0};
  /// Part of the prompt that other requests share.
  uint64_t SharedTokens = 0;
};

/// Time models of one service's engines, by prompt tokens.
struct EngineSpeedModels {
  /// Time of a separate prefill.
  SpeedModel Prefill;
  /// Time to the first event at a decode engine that prefills the prompt
  /// itself.
  SpeedModel Colocated;
  /// Time to the first event at a decode engine that fetches the key-value
  /// cache from a prefill engine.
  SpeedModel Fetch;
  /// Time between two events of a stream, by requests in flight.
  SpeedModel Pace;
};

/// Returns the models that apply before any sample is observed.
EngineSpeedModels initialSpeedModels();

/// The engines chosen for a request.
struct PlacementChoice {
  /// Engine that prefills the prompt and hands over the key-value cache; empty
  /// when the decode engine prefills the prompt itself.
  std::optional<size_t> Prefill;
  size_t Decode = 0;
  Seconds TimeToFirstEvent{0};
  /// Part of TimeToFirstEvent that prefills the request's own prompt.
  Seconds PromptPrefillTime{0};
};

/// Chooses the engines with the least estimated time to the first event. The
/// load alternates between long prompts and many short ones within seconds, so
/// the choice between a separate prefill and a prefill at the decode engine is
/// made for each request. Slow, failing and ejected engines get a higher cost,
/// and so do those where the prefill would stretch the pauses of running
/// streams over their objective. Both engines have the same software version.
/// Returns nothing if there is no decode engine.
std::optional<PlacementChoice>
placeRequest(const std::vector<EngineCandidate> &engines,
             const RequestProfile &request, const EngineSpeedModels &speeds,
             std::mt19937_64 &random);

/// Chooses the decode engine for a prompt whose key-value cache is at a prefill
/// engine.
std::optional<size_t>
chooseFetchEngine(const std::vector<EngineCandidate> &engines,
                  const RequestProfile &request,
                  const EngineSpeedModels &speeds, std::mt19937_64 &random);

} // namespace sardineford::routing
