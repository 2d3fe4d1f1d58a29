#pragma once

#include "Sardineford/Common/Time.h"
#include "Sardineford/Duties/BootClock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sardineford::duties {

/// Number of processes, the first in the order of the fleet, that compete for
/// the lease and receive the counts of all others.
inline constexpr unsigned Contenders = 3;

/// Times of the lease protocol.
struct LeaseTimes {
  /// Time within which the platform judges calls of alternating holders.
  Milliseconds PlatformLease{3'000};
  /// Validity of a written lease for its holder.
  Milliseconds Duration{4'000};
  Milliseconds RenewalInterval{1'000};
  /// Added to Duration before a takeover, for clocks that drift.
  Milliseconds Margin{300};
  /// Added for each rank, so that the contenders do not write at once.
  Milliseconds RankDelay{400};
  /// A call, or a copy of it, may be executed for this long.
  Milliseconds LateExecution{4'000};
};

/// Returns the times for a lease of the platform.
LeaseTimes leaseTimes(Milliseconds platformLease);

/// A report whose content cannot change any more.
struct FixedReport {
  int64_t Window = 0;
  /// Text of the counts, sent as it is.
  std::string Body;

  bool operator==(const FixedReport &) const = default;
};

/// The last order for the servers of a service in a failure domain.
struct PlacedOrder {
  std::string Service;
  std::string FailureDomain;
  unsigned Servers = 0;

  bool operator==(const PlacedOrder &) const = default;
};

/// The object of the lease. Every change is a conditional write.
struct LeaseRecord {
  std::string Holder;
  /// Identifies the process; empty if none has held the lease.
  std::string Incarnation;
  /// The fencing token.
  uint64_t Epoch = 0;
  uint64_t Renewals = 0;
  /// A call of this or an earlier holder may still be executed.
  bool CallOpen = false;
  /// Era of the store in which the holder released the lease. In another era
  /// the object is an old copy, and its release may have been superseded.
  std::optional<uint64_t> ReleasedInEra;
  /// Era in which the fields below were written.
  uint64_t Era = 0;
  /// Last window whose report was fixed, or that will have none.
  int64_t LastFixed = 0;
  /// Fixed reports that are not answered yet, oldest first.
  std::vector<FixedReport> Pending;
  /// Id of the write.
  std::string WriteId;
  std::vector<PlacedOrder> Orders = {};

  bool operator==(const LeaseRecord &) const = default;
};

std::string encodeLease(const LeaseRecord &record);
/// Throws std::exception if the text is no record.
LeaseRecord decodeLease(const std::string &text);

/// What a process knows of the lease.
struct LeaseState {
  std::string Name;
  std::string Incarnation;
  bool IsHolder = false;
  /// The record is known to be the one in the store at `Version`. Not so before
  /// the first read, and after a write with an unknown outcome.
  bool IsRecordKnown = false;
  LeaseRecord Record;
  uint64_t Version = 0;
  /// Time of the first read that found this version.
  BootTime VersionSeenAt{};
  /// The lease is valid for its holder until then.
  BootTime ValidUntil{};
  /// A new holder makes no call before.
  BootTime SilentUntil{};
  /// Highest epoch that this process has seen.
  uint64_t HighestEpoch = 0;
  /// Era of the store and the time of the first response in it.
  std::optional<uint64_t> Era;
  BootTime EraSeenAt{};
  /// Time of the last call. An answered call counts as open for as long as
  /// others, since a copy of it may be executed later.
  std::optional<BootTime> LastCallAt;
  /// The platform has seen a higher token than that of this process.
  bool IsFenced = false;
};

/// Returns whether the holder may send a call now.
bool mayCall(const LeaseState &state, BootTime now);

/// Returns whether a call may still be executed, of this or an earlier holder.
bool mayCallBeOpen(const LeaseState &state, const LeaseTimes &times,
                   BootTime now);

/// Returns whether the process may take the lease over. `rank` is its rank in
/// the order of the fleet.
bool mayTakeOver(const LeaseState &state, const LeaseTimes &times,
                 unsigned rank, BootTime now);

/// Returns the record that takes the lease over; if the object does not exist,
/// one without a holder. The epoch is above all that were given out, also by a
/// store that has come back from an older copy since.
LeaseRecord makeTakeover(const LeaseState &state);

/// Returns the record that renews the lease. `callPlanned`: a call will be made
/// if the write succeeds.
LeaseRecord makeRenewal(const LeaseState &state, const LeaseTimes &times,
                        bool callPlanned, BootTime now);

/// Returns the record that releases the lease.
LeaseRecord makeRelease(const LeaseState &state, const LeaseTimes &times,
                        BootTime now);

/// Records what a read has found, version 0 if no object.
void applyRead(LeaseState &state, const LeaseTimes &times,
               const LeaseRecord &record, uint64_t version, BootTime now);

/// Records that a write succeeded. The lease is valid from before the write.
void applyWritten(LeaseState &state, const LeaseTimes &times,
                  const LeaseRecord &record, uint64_t version,
                  BootTime writeStart, BootTime now);

/// Returns the last window that may have a fixed report. An object that is new,
/// or an older copy of a restored store, does not tell; the window of the first
/// response in this era of the store is the last one then, since no later one
/// can have been fixed before the restore.
int64_t lastFixedWindow(const LeaseRecord &record, uint64_t era,
                        int64_t windowOfEra);

/// Records that a write may have taken effect or that another write has. No
/// call is made until the record is known again.
void applyUnknownWrite(LeaseState &state);

/// Records that the platform rejected a token as lower than one it has seen.
void applyFenced(LeaseState &state);

} // namespace sardineford::duties
