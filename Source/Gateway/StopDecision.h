#pragma once

#include "Sardineford/Common/Time.h"

namespace sardineford::gateway {

/// A request that arrives at a stopping process.
struct StopState {
  /// Time since the stop was requested.
  Milliseconds StoppingFor{0};
  /// Time from the request to stop until open requests get their final answer.
  Milliseconds AnswerTime{0};
  /// Timeout of the request's route.
  Milliseconds Timeout{0};
  /// Time in which a response on the route is complete usually.
  Milliseconds TypicalDuration{0};
};

/// Time after the request to stop in which a load balancer still sends
/// requests: two readiness checks, one second apart, and a margin.
inline constexpr Milliseconds BalancerNoticeTime{2'800};

/// Time that open requests have for their final answer before the process
/// exits.
inline constexpr Milliseconds FinalAnswerTime{200};

/// Returns the time from the request to stop until open requests get their
/// final answer, for the time until the process is killed.
Milliseconds stopAnswerTime(Milliseconds grace);

/// Returns whether a stopping process may exit before the response is complete.
/// While a load balancer still sends requests, most of them have to be served,
/// also those that may take longer than is left.
bool stopsBeforeResponse(const StopState &state);

} // namespace sardineford::gateway
