#pragma once

#include "Sardineford/Common/Time.h"
#include "StandIns/Proof/History.h"

#include <string>
#include <vector>

namespace sardineford::standins {

/// The points of "What must always hold", as the proofs name them.
enum class Point {
  WholeAnswer,
  AtMostOnce,
  NotRunIsTrue,
  NoConflictingOrders,
  NoEffectAfterLoss,
  NoWorkAfterLeaving,
  NothingCut,
  GracefulStop,
  GenerationInForce,
};

std::string_view toString(Point p);
const std::vector<Point> &allPoints();

/// A history that breaks a point.
struct Violation {
  Point What = Point::WholeAnswer;
  std::string Text;
};

/// Bounds of the stated target.
struct CheckBounds {
  Milliseconds LeavingKnown{2'000};
  Milliseconds InForce{8'000};
};

using History = std::vector<HistoryEvent>;

/// Every answer that a caller took for whole is the one to its own request,
/// and no accepted answer is lost while its deadline has not passed.
std::vector<Violation> checkWholeAnswers(const History &h);
/// No key ran twice at the backend servers.
std::vector<Violation> checkAtMostOnce(const History &h);
/// After the answer "not run" for a key there is no run that began before,
/// nor one before the key is sent again.
std::vector<Violation> checkNotRun(const History &h);
/// No engine has two orders at a time.
std::vector<Violation> checkConflictingOrders(const History &h);
/// No order runs after one of a later epoch, or after its end was recorded.
std::vector<Violation> checkLostHolders(const History &h);
/// No attempt begins at a backend server that some process knew to be leaving
/// for longer than the bound.
std::vector<Violation> checkLeaving(const History &h, const CheckBounds &b);
/// No running answer is cut off at an engine by an order.
std::vector<Violation> checkNothingCut(const History &h);
/// No caller's connection breaks at a process that was stopped gracefully.
std::vector<Violation> checkGracefulStops(const History &h);
/// Generations of a process only grow; each is in force everywhere in time,
/// counted from the end of the last fault; accepted edits stay.
std::vector<Violation> checkGenerations(const History &h, const CheckBounds &b);

/// All of them.
std::vector<Violation> checkAll(const History &h, const CheckBounds &b = {});

} // namespace sardineford::standins
