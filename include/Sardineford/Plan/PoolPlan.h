#pragma once

#include "Sardineford/Common/Error.h"
#include "Sardineford/Common/Time.h"
#include "Sardineford/Routing/View.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sardineford::plan {

/// Identifies one incarnation of a process.
struct ProcessIdentity {
  std::string Name;
  /// Differs for each start of the process.
  std::string Incarnation;
  /// Address for RPCs between the processes of the system.
  std::string Address;

  bool operator==(const ProcessIdentity &) const = default;
};

/// An order to an engine to change its role. The plan holds the order until its
/// outcome is recorded.
struct Order {
  std::string Id;
  std::string Engine;
  routing::EngineRole TargetRole = routing::EngineRole::Mixed;
  /// Epoch of the plan in which the order was recorded. Serves as the fencing
  /// number.
  uint64_t Epoch = 0;
  ProcessIdentity Issuer;
};

/// Role and drain state that the plan assigns to one engine.
struct Assignment {
  routing::EngineRole Role = routing::EngineRole::Mixed;
  /// The engine gets no new work because it is about to change its role or to
  /// leave.
  bool Draining = false;
};

/// Stored object with the lease, the engine roles and the unfinished orders of
/// one pool. Every change is a conditional update.
struct PoolPlan {
  std::string Pool;
  ProcessIdentity Holder;
  uint64_t Epoch = 0;
  /// Increases with each renewal of the lease; 0 at the start of an epoch.
  uint64_t Renewals = 0;
  std::map<std::string, Assignment> Engines;
  std::vector<Order> Unfinished;
  /// Id of the write that produced this state.
  std::string WriteId;
};

inline constexpr const char *PlanKind = "PoolPlan";

std::string encodePlan(const PoolPlan &plan);
PoolPlan decodePlan(const std::string &text);

/// Returns the plan with a new lease holder and the next epoch. Engine roles
/// and unfinished orders stay unchanged.
PoolPlan takeOver(PoolPlan plan, const ProcessIdentity &newHolder);

/// Returns the plan with the order added. Throws Error(Conflict) if the engine
/// has an unfinished order, since an engine never has two.
PoolPlan recordOrder(PoolPlan plan, const Order &order);

/// Returns the plan without the order and with its engine no longer draining.
/// If the order was done, the engine has the target role of the order.
PoolPlan endOrder(PoolPlan plan, const std::string &id, bool done);

std::optional<Order> unfinishedOrder(const PoolPlan &plan,
                                     const std::string &engine);

/// Returns whether the engine must not be sent any order. This is the case if
/// the engine does not check fencing numbers and has an unfinished order of an
/// earlier lease holder, which may still arrive.
bool isFrozen(const PoolPlan &plan, const std::string &engine,
              bool checksFencing);

/// Times of the lease protocol. The holder stops acting before another process
/// may take over the lease.
struct LeaseTimes {
  Milliseconds Duration{3'000};
  Milliseconds RenewalInterval{1'000};
  /// Added to Duration by the other processes before a takeover, to allow for
  /// clock drift.
  Milliseconds Margin{300};
};

/// A lease as seen by its holder, on the holder's monotonic clock.
class HeldLease {
public:
  explicit HeldLease(LeaseTimes times) : Times(times) {}

  /// Extends the lease from the start of the write that took or renewed it.
  void extend(MonoTime writeStart) { ValidUntil = writeStart + Times.Duration; }
  void invalidate() { ValidUntil = MonoTime{}; }
  bool isValid(MonoTime now) const { return now < ValidUntil; }
  MonoTime validUntil() const { return ValidUntil; }

private:
  LeaseTimes Times;
  MonoTime ValidUntil{};
};

/// A lease as seen by a process that does not hold it. Tracks when the stored
/// object last changed, on the observer's monotonic clock.
class ObservedLease {
public:
  explicit ObservedLease(LeaseTimes times) : Times(times) {}

  /// Records the version that a read returned and the time when the read ended.
  void recordVersion(uint64_t version, MonoTime readEnd);
  /// Returns whether the version has been unchanged for Duration plus Margin,
  /// so that the holder's lease has expired.
  bool hasExpired(MonoTime now) const;

private:
  LeaseTimes Times;
  std::optional<uint64_t> Version;
  MonoTime VersionSeenSince{};
};

} // namespace sardineford::plan
