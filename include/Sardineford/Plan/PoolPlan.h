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

/// Who holds a lease. The incarnation differs for each start of a process.
struct ProcessIdentity {
  std::string Name;
  std::string Incarnation;
  /// Address for calls between the system's processes.
  std::string Address;

  bool operator==(const ProcessIdentity &) const = default;
};

/// An order to an engine that was recorded and whose outcome is not.
struct Order {
  std::string Id;
  std::string Engine;
  routing::EngineRole TargetRole = routing::EngineRole::Mixed;
  /// Epoch of the plan in which it was recorded: the fencing number.
  uint64_t Epoch = 0;
  ProcessIdentity Issuer;
};

/// What the plan says of one engine.
struct Assignment {
  routing::EngineRole Role = routing::EngineRole::Mixed;
  /// No new work; a role change or a withdrawal is near.
  bool Draining = false;
};

/// The object that carries lease, roles and unfinished orders of one pool.
/// Every change of it is a conditional update.
struct PoolPlan {
  std::string Pool;
  ProcessIdentity Holder;
  uint64_t Epoch = 0;
  /// Grows with each renewal of the lease.
  uint64_t Renewals = 0;
  std::map<std::string, Assignment> Engines;
  std::vector<Order> Unfinished;
  /// Id of the write that made this state.
  std::string WriteId;
};

inline constexpr const char *PlanKind = "PoolPlan";

std::string encodePlan(const PoolPlan &p);
PoolPlan decodePlan(const std::string &text);

/// The plan after a take-over: next epoch, new holder, the rest unchanged.
PoolPlan takeOver(PoolPlan p, const ProcessIdentity &by);

/// The plan with an order added. Throws Error(Conflict) when the engine has an
/// unfinished order: an engine never has two.
PoolPlan recordOrder(PoolPlan p, const Order &o);

/// The plan without an order. When it was done the engine has its target role.
PoolPlan endOrder(PoolPlan p, const std::string &id, bool done);

/// The unfinished order of an engine.
std::optional<Order> unfinishedOrder(const PoolPlan &p,
                                     const std::string &engine);

/// Whether an engine must get no order: it does not check fencing numbers and
/// has an unfinished order of another holder, which may still arrive.
bool isFrozen(const PoolPlan &p, const std::string &engine, bool checksFencing);

/// Lease times. A holder stops before others may take over.
struct LeaseTimes {
  Milliseconds Duration{3'000};
  Milliseconds RenewalInterval{1'000};
  /// Added by others before they take over, against clock drift.
  Milliseconds Margin{300};
};

/// A lease as its holder sees it, on its own monotonic clock.
class HeldLease {
public:
  explicit HeldLease(LeaseTimes times) : Times(times) {}

  /// The write that took or renewed the lease was begun at this time.
  void extend(MonoTime begun) { ValidUntil = begun + Times.Duration; }
  void invalidate() { ValidUntil = MonoTime{}; }
  bool isValid(MonoTime now) const { return now < ValidUntil; }
  MonoTime validUntil() const { return ValidUntil; }

private:
  LeaseTimes Times;
  MonoTime ValidUntil{};
};

/// A lease as others see it: when its object last changed, on their clock.
class ObservedLease {
public:
  explicit ObservedLease(LeaseTimes times) : Times(times) {}

  /// A read that ended at this time returned this version.
  void recordVersion(uint64_t version, MonoTime at);
  /// Whether the holder's lease has lapsed for sure.
  bool hasExpired(MonoTime now) const;

private:
  LeaseTimes Times;
  std::optional<uint64_t> Version;
  MonoTime VersionSeenSince{};
};

} // namespace sardineford::plan
