#pragma once

#include "Sardineford/Routing/Route.h"

#include <optional>
#include <random>
#include <string>

namespace sardineford::admission {

/// Size class of a request; a higher value has priority at the engine.
enum class RequestClass { Long, Normal, Short };

/// Classifies a request by size, so that short requests do not wait behind long
/// ones.
RequestClass classify(uint64_t promptTokens, uint64_t maxOutputTokens);

std::string_view toString(RequestClass c);

/// Demand and fair share of one workspace on a pool.
struct WorkspaceShare {
  /// Tokens per second that the workspace requests from all processes.
  double RequestedTokensPerSecond = 0;
  /// Tokens per second of the workspace's share among the workspaces that send
  /// requests now; 0 when the workspace is not limited.
  double AllowedTokensPerSecond = 0;
};

enum class RejectionReason { None, NoEngine, DeadlineTooShort, ShareExceeded };

struct Decision {
  RejectionReason Reason = RejectionReason::None;
  /// Delay before the caller retries a rejected request.
  Milliseconds RetryAfter{0};

  bool accepted() const { return Reason == RejectionReason::None; }
};

/// Decides immediately whether the complete answer can meet the deadline. The
/// retry delay of a rejected request covers the current backlog, with random
/// jitter so that rejected callers do not all retry at the same time.
Decision decide(const std::optional<routing::Route> &route,
                Seconds timeToDeadline, const WorkspaceShare &share,
                std::mt19937_64 &random);

/// Tokens per second that a pool can process in both phases, in decode tokens.
/// A prompt token counts as the fraction of a decode token that its prefill
/// costs.
double poolCapacity(const routing::PoolView &view);

/// Cost of a request in the unit of poolCapacity().
double tokenCost(const routing::EngineSpeeds &speeds, double promptTokens,
                 double outputTokens);

} // namespace sardineford::admission
