#pragma once

#include "Sardineford/Fleet/Configuration.h"
#include "Sardineford/Fleet/ConnectionBudget.h"
#include "Sardineford/Fleet/Health.h"
#include "Sardineford/Fleet/PartCache.h"
#include "Sardineford/Fleet/ServerLoad.h"
#include "Sardineford/Fleet/ServerPace.h"
#include "Sardineford/Fleet/VersionRecord.h"
#include "Sardineford/Fleet/WorkInFlight.h"
#include "Sardineford/Http/Message.h"
#include "Sardineford/Routing/View.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sardineford::fleet {

/// Time after its last event for which a caller may take up a broken stream:
/// longer than the deadlines of the callers.
inline constexpr std::chrono::seconds StreamMemory{30};

/// A server whose entry is missing is kept over this many further outages of
/// the store at most.
inline constexpr unsigned MaxGraceExtensions = 3;

/// Entry of a backend server in the platform's store, written by the server.
struct ServerEntry {
  std::string Id;
  std::string Service;
  http::Endpoint Address;
  std::string FailureDomain;
  unsigned Slots = 1;
  bool Draining = false;
  /// Version of the server's software. A stream goes on only at servers of the
  /// version that began it. Versions have no order.
  std::string SoftwareVersion;
  /// Phases that an engine runs; empty for other servers.
  std::optional<routing::EngineRole> Role;
  /// Start time by the server's clock. Distinguishes incarnations with the same
  /// id.
  int64_t StartedMs = 0;

  bool operator==(const ServerEntry &) const = default;
};

/// Connections of this process to a server whose service limits them.
struct ServerConnections {
  AcceptedConnections Accepted;
  /// The service limits the connections of its servers.
  bool IsLimited = false;
  ConnectionPart Part;
  MonoTime DecidedAt{};
};

/// One incarnation of a backend server and its state as known to this process.
struct Server {
  ServerEntry Entry;
  PassiveHealth Health;
  WorkInFlight LocalWork;
  /// Sum of the work that peers have reported.
  WorkInFlight PeerWork;
  /// Ratio of the observed time to the estimate for the service; 1 if equal.
  double Slowness = 1;
  /// Time at which a request last waited in vain for bytes of the server.
  MonoTime SilentAt{};
  /// Draining, leaving or removed; receives no new requests.
  bool Leaving = false;
  /// Time at which the server itself said that it leaves; the epoch if only the
  /// store or nobody says so.
  MonoTime LeavingSaidAt{};
  /// The server has asked this process to send nothing until this time.
  MonoTime ClosedUntil{};
  /// Load in the newest response of the server; empty if it reports none.
  std::optional<ReportedLoad> Reported;
  /// Set while the server has not reached its full pace.
  std::optional<ServerPace> Pace;
  /// Time at which the server was found or readmitted; the epoch if it is in
  /// the first list of servers and had not just started.
  MonoTime AvailableSince{};
  /// Time of becoming available for which the last pace began.
  MonoTime PacedSince{};
  /// Connections that this process may have to the server.
  ServerConnections Connections;
  /// Prompt parts that the engine is estimated to have cached.
  PartCache CachedParts;

  /// Returns the prompt tokens of all processes that are prefilled before new
  /// work of this priority.
  double tokensAhead(WorkPriority p) const {
    return std::max(0.0, LocalWork.tokensAhead(p) + PeerWork.tokensAhead(p));
  }
  /// Returns the requests in flight of all processes.
  unsigned requests() const { return LocalWork.Requests + PeerWork.Requests; }
};

using ServerPtr = std::shared_ptr<Server>;

/// All backend servers known to this process. An incarnation that announced
/// that it leaves is never readmitted. An incarnation whose entry went missing
/// may only have lost its connection to the store: when the entry reappears,
/// the server is readmitted after the server itself reports that it is healthy.
class Directory {
public:
  /// Receives each server that changed and a description of the change for the
  /// log.
  using Listener = std::function<void(const Server &, std::string_view change)>;

  explicit Directory(Listener listener) : OnChange(std::move(listener)) {}
  /// Sets the function to call when the entry of a missing server reappears.
  void onReappearance(std::function<void(const ServerEntry &)> f) {
    OnReappearance = std::move(f);
  }
  /// Readmits a server that has reported that it is healthy and not leaving.
  /// Returns false if the entry has changed or gone missing in the meantime.
  bool readmit(const ServerEntry &entry);
  /// Returns true if exactly this entry has reappeared and the server is not
  /// readmitted yet.
  bool awaitsReadmission(const ServerEntry &entry) const;

  /// Adds a server or updates its entry.
  void put(const ServerEntry &entry);
  /// Removes a server whose entry is missing: at the end of the grace period,
  /// or at once if the period has ended. During a store outage, entries may
  /// expire although their servers are running. That an entry is still missing
  /// does not move the end of its period.
  void remove(const std::string &id, MonoTime graceEnd, MonoTime now);
  /// Applies a complete list of entries; servers without an entry are missing.
  void replaceAll(const std::vector<ServerEntry> &entries, MonoTime graceEnd,
                  MonoTime now);
  /// Removes servers that are still missing at the end of the grace period.
  void removeMissing(MonoTime now);
  /// Returns the number of servers whose entries are missing and that are kept.
  size_t missing() const { return Missing.size(); }
  /// Extends the grace periods of the missing servers, of each at most
  /// MaxGraceExtensions times. Called when the store is back after an outage.
  void keepMissing(MonoTime graceEnd);
  /// Marks an incarnation as leaving, as the server itself has said, also while
  /// its entry is missing. The store may not know yet, or never.
  void markLeaving(const std::string &id, int64_t startedMs,
                   std::string_view reason, MonoTime now);
  /// Removes a server when another server answers at its address. The
  /// incarnation is never readmitted.
  void removePermanently(const ServerPtr &server, std::string_view reason);

  /// Servers of a service that do not leave.
  const std::vector<ServerPtr> &ofService(const std::string &service) const;
  /// Servers of a service that leave and whose entries are still known.
  std::vector<ServerPtr> leavingOf(const std::string &service) const;
  /// Returns the software versions of a service's servers, with those of
  /// servers that departed so recently that callers may take up their streams.
  std::set<std::string> softwareVersions(const std::string &service,
                                         MonoTime now) const;
  /// Returns what is known of the versions of a service, also from its record
  /// in the store.
  KnownVersions knownVersions(const std::string &service, MonoTime now) const;
  /// Returns whether softwareVersions() has all versions from which a caller
  /// may take up a stream, also those of servers that departed before the start
  /// of this process.
  bool isVersionHistoryKnown() const { return RecordsRead; }
  bool isRecorded(const std::string &service, const std::string &version) const;
  /// Applies the record of a service. Its versions without a server count as
  /// departed now, since when they departed is not known.
  void applyRecord(const VersionRecord &record, MonoTime now);
  /// Forgets a record that the store does not hold any more.
  void dropRecord(const std::string &service) { Records.erase(service); }
  /// Sets that the records of all services were applied. A service without one
  /// has had no streams.
  void setRecordsRead() { RecordsRead = true; }
  ServerPtr find(const std::string &id) const;
  size_t size() const { return ById.size(); }
  template <class F> void forEach(F f) {
    for (auto &[id, server] : ById)
      f(*server);
  }
  /// Returns true once a complete list of entries has been applied.
  bool isLoaded() const { return Loaded; }

private:
  /// Incarnation of a server that left, was removed or went missing.
  struct Departure {
    int64_t StartedMs = 0;
    /// The entry went missing although the server has not announced that it
    /// leaves.
    bool WentMissing = false;
  };

  struct GracePeriod {
    MonoTime End{};
    unsigned Extensions = 0;
  };

  void drop(const std::string &id, std::string_view reason, bool wentMissing);
  void handleReappearance(const ServerEntry &entry, Departure &departure);
  void recordDeparture(const ServerEntry &entry);
  void rebuildIndex();

  Listener OnChange;
  std::map<std::string, ServerPtr> ById;
  std::map<std::string, std::vector<ServerPtr>> ByService;
  std::function<void(const ServerEntry &)> OnReappearance;
  /// Last departure of each server, by id.
  std::map<std::string, Departure> Departures;
  /// Reappeared entries of servers that are not readmitted yet.
  std::map<std::string, ServerEntry> AwaitingReadmission;
  /// Software versions of the servers with an entry, by service.
  std::map<std::string, std::set<std::string>> PresentVersions;
  /// Last departure from each software version, by service.
  std::map<std::string, std::map<std::string, MonoTime>> DepartedVersions;
  /// Recorded versions, by service.
  std::map<std::string, std::set<std::string>> Records;
  bool RecordsRead = false;
  /// Servers whose entries are missing and that are kept for a time.
  std::map<std::string, GracePeriod> Missing;
  bool Loaded = false;
  /// The first complete list is being applied.
  bool AppliesFirstList = false;
};

} // namespace sardineford::fleet
