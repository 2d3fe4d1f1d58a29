#pragma once

#include "Sardineford/Routing/Route.h"

#include <optional>
#include <random>
#include <string>

namespace sardineford::admission {

/// Class of a request; higher ones go first at the engine.
enum class RequestClass { Long, Normal, Short };

/// Class by size: short questions must not wait behind long drafts.
RequestClass classify(uint64_t promptTokens, uint64_t maxOutputTokens);

std::string_view toString(RequestClass c);

/// A workspace's part of the demand on a pool that is short.
struct WorkspaceShare {
  /// Tokens a second that the workspace asks for on all nodes.
  double RequestedTokensPerSecond = 0;
  /// What its share comes to among the workspaces that ask for work now; 0
  /// when it is not limited.
  double AllowedTokensPerSecond = 0;
};

enum class RejectionReason { None, NoEngine, DeadlineTooShort, ShareExceeded };

/// Accepted, or refused with the time to come back after.
struct Decision {
  RejectionReason Reason = RejectionReason::None;
  Milliseconds RetryAfter{0};

  bool accepted() const { return Reason == RejectionReason::None; }
};

/// Decides at once whether the whole answer can be in time. A refused caller
/// is told when the present backlog will have drained, spread at random so
/// that refused callers do not return together.
Decision decide(const std::optional<routing::Route> &route,
                Seconds timeToDeadline, const WorkspaceShare &share,
                std::mt19937_64 &random);

/// Tokens of both phases that a pool can do a second, in units of decode
/// tokens: a prompt token counts as much less.
double poolCapacity(const routing::PoolView &view);

/// Cost of a request in the same unit.
double tokenCost(const routing::EngineSpeeds &s, double promptTokens,
                 double outputTokens);

} // namespace sardineford::admission
