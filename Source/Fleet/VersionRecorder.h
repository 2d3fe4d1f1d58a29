#pragma once

#include "Fleet/WatchDuty.h"
#include "Sardineford/Common/Async.h"
#include "Sardineford/Fleet/Directory.h"
#include "Sardineford/Fleet/StoreView.h"
#include "Sardineford/Fleet/VersionRecord.h"
#include "Sardineford/Metrics/Metrics.h"
#include "Sardineford/Store/ObjectStore.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace sardineford::fleet {

/// Keeps the records of software versions in the store up to date, together
/// with the other processes: one of them writes a change and tells the others.
class VersionRecorder {
public:
  VersionRecorder(IoContext &io, store::ObjectStore &store,
                  Directory &directory, metrics::Metrics &metrics);

  void start();
  /// Sets the services whose streams callers can take up.
  void setServices(std::set<std::string> services) {
    Services = std::move(services);
  }
  const std::set<std::string> &services() const { return Services; }
  /// Returns whether streams may begin at servers of a version: it is recorded,
  /// or could not be recorded for MaxRecordDelay.
  bool mayBegin(const std::string &service, const std::string &version,
                MonoTime now) const;
  /// Sets the position of this process among all processes, which decides how
  /// soon it writes.
  void setPosition(std::optional<FleetPosition> position) {
    Position = position;
  }
  /// Sets the function that sends a record to the peers.
  void onWritten(std::function<void(const VersionRecord &)> f) {
    Publish = std::move(f);
  }
  /// Sets the function to call when the recorded versions of a service change.
  void onApplied(std::function<void(const std::string &service)> f) {
    OnApplied = std::move(f);
  }
  /// Applies a record that a peer has written.
  void applyPublished(const VersionRecord &record);
  /// Reads the records again, after a restore of the store from a copy that may
  /// lack changes.
  void readAgain() { IsRead = false; }

private:
  struct PendingChange {
    RecordChange Change = RecordChange::None;
    MonoTime Since{};
  };

  Awaitable<void> run();
  Awaitable<void> readAll();
  /// Makes the changes that are due.
  Awaitable<void> update();
  Awaitable<void> write(std::string service, RecordChange change);
  Awaitable<void> readOne(std::string service);
  bool apply(const VersionRecord &record, std::string_view source);
  /// Returns whether it is the turn of this process to make the change that the
  /// record of the service needs.
  bool isDue(const std::string &service, RecordChange change, MonoTime now);

  IoContext &Io;
  store::ObjectStore &Store;
  Directory &Servers;
  metrics::Metrics &Metrics;
  std::function<void(const VersionRecord &)> Publish;
  std::function<void(const std::string &)> OnApplied;
  std::set<std::string> Services;
  std::optional<FleetPosition> Position;
  MonoTime StartedAt;
  bool IsRead = false;
  /// Version of the object of each service; 0 if there is none.
  std::map<std::string, uint64_t> ObjectVersions;
  std::map<std::string, PendingChange> Pending;
};

} // namespace sardineford::fleet
