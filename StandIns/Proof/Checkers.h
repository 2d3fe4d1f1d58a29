#pragma once

#include "Sardineford/Common/Time.h"
#include "StandIns/Proof/History.h"

#include <string>
#include <vector>

namespace sardineford::standins {

/// Invariants of the system that the fault runs check.
enum class Invariant {
  CompleteResponse,
  AtMostOnce,
  NotExecutedIsTrue,
  NoConflictingOrders,
  NoEffectAfterLeaseLoss,
  NoWorkAfterLeaving,
  NoInterruptedRequests,
  GracefulStop,
  GenerationsApplied,
};

std::string_view toString(Invariant i);
const std::vector<Invariant> &allInvariants();

/// A violation of an invariant in a history.
struct Violation {
  Invariant Violated = Invariant::CompleteResponse;
  std::string Message;
};

/// Time limits of the invariants; both are limits of the stated target.
struct CheckBounds {
  /// Time for which work may still start at a backend server after a process
  /// recorded the server as leaving.
  Milliseconds MaxWorkAfterLeaving{2'000};
  /// Time in which every running process must apply a published generation.
  Milliseconds MaxApplyTime{8'000};
};

using History = std::vector<HistoryEvent>;

/// Checks that every complete response is the correct one for its request, and
/// that no accepted request fails before its deadline.
std::vector<Violation> checkCompleteResponses(const History &history);
/// Checks that the backend servers executed no idempotency key twice.
std::vector<Violation> checkAtMostOnce(const History &history);
/// Checks the responses that say that the request of a key was not executed:
/// the key was not executed before the response, nor between the response and
/// the next attempt with the same key.
std::vector<Violation> checkNotExecuted(const History &history);
/// Checks that no engine receives an order while another one is running.
std::vector<Violation> checkConflictingOrders(const History &history);
/// Checks that no engine executes an order of an older epoch after an order of
/// a newer one, or an order that was already recorded as done.
std::vector<Violation> checkLostLeases(const History &history);
/// Checks that no work starts at a backend server later than the bound after
/// the first process recorded the server as leaving.
std::vector<Violation> checkLeavingServers(const History &history,
                                           const CheckBounds &bounds);
/// Checks that no order interrupts a running request at an engine.
std::vector<Violation> checkInterruptedRequests(const History &history);
/// Checks that no caller's connection breaks at a process that was stopped
/// gracefully and had no other fault.
std::vector<Violation> checkGracefulStops(const History &history);
/// Checks that the generations of a process only increase, that every running
/// process applies each generation within the bound, counted from the last
/// fault or the publication if later, and that accepted edits are not lost.
std::vector<Violation> checkGenerations(const History &history,
                                        const CheckBounds &bounds);

/// Runs all checks.
std::vector<Violation> checkAll(const History &history,
                                const CheckBounds &bounds = {});

} // namespace sardineford::standins
