#include "Fleet/VersionRecorder.h"

#include "Sardineford/Common/Log.h"
#include "Sardineford/Store/Version.h"
#include "Sardineford/Store/Write.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <utility>

namespace sardineford::fleet {

namespace {

using log::Category;

/// A new version waits at most this long before the first process notices it.
constexpr Milliseconds CheckInterval{20};
constexpr Milliseconds InitialRetryDelay{60};
constexpr Milliseconds MaxRetryDelay{500};
/// A process that does not know its position after this time acts as one of a
/// small fleet would.
constexpr Milliseconds MaxPositionWait{1'000};

} // namespace

VersionRecorder::VersionRecorder(IoContext &io, store::ObjectStore &store,
                                 Directory &directory,
                                 metrics::Metrics &metrics)
    : Io(io), Store(store), Servers(directory), Metrics(metrics),
      StartedAt(MonoClock::now()) {}

void VersionRecorder::start() {
  spawn(Io, "version-records", [this] { return run(); });
}

Awaitable<void> VersionRecorder::run() {
  store::Backoff backoff(InitialRetryDelay, MaxRetryDelay);
  for (;;) {
    bool failed = false;
    try {
      if (!IsRead)
        co_await readAll();
      co_await update();
      backoff.reset();
    } catch (const store::StoreError &e) {
      failed = true;
      log::event(Category::Store, log::Level::Debug, "version_records_unknown",
                 {{"error", std::string_view(e.what())}});
    }
    co_await sleepFor(failed ? backoff.next() : CheckInterval);
  }
}

Awaitable<void> VersionRecorder::readAll() {
  // A restore of the store during the read calls for another one.
  IsRead = true;
  store::ObjectList list;
  try {
    list = co_await Store.list(VersionRecordKind);
  } catch (const store::StoreError &) {
    IsRead = false;
    throw;
  }
  std::map<std::string, uint64_t> found;
  for (const store::Object &it : list.Objects) {
    try {
      VersionRecord record = decodeRecord(it.Value, it.Version);
      found[record.Service] = record.Version;
      apply(record, "store");
    } catch (const std::exception &e) {
      log::event(Category::Store, log::Level::Warning, "object_skipped",
                 {{"kind", it.Kind},
                  {"name", it.Name},
                  {"revision", store::revisionOf(it.Version)},
                  {"error", std::string_view(e.what())}});
    }
  }
  // An object that a restored store lacks is created again.
  for (auto &[service, version] : ObjectVersions)
    if (!found.contains(service)) {
      version = 0;
      Servers.dropRecord(service);
    }
  Servers.setRecordsRead();
}

bool VersionRecorder::isDue(const std::string &service, RecordChange change,
                            MonoTime now) {
  if (change == RecordChange::None) {
    Pending.erase(service);
    return false;
  }
  if (!Position && now - StartedAt < MaxPositionWait)
    return false;
  auto [it, isFirst] = Pending.try_emplace(service, PendingChange{change, now});
  if (!isFirst && it->second.Change != change)
    it->second = {change, now};
  unsigned rank = Position ? Position->Rank : 0;
  return now - it->second.Since >= changeDelay(change, rank);
}

Awaitable<void> VersionRecorder::update() {
  MonoTime now = MonoClock::now();
  std::vector<std::pair<std::string, RecordChange>> due;
  for (const std::string &it : Services) {
    RecordChange change = neededChange(Servers.knownVersions(it, now));
    if (isDue(it, change, now))
      due.emplace_back(it, change);
  }
  for (auto &[service, change] : due) {
    // Another process has probably written it, and the news was lost.
    if (Position && Position->Rank > 0)
      co_await readOne(service);
    change = neededChange(Servers.knownVersions(service, MonoClock::now()));
    if (change != RecordChange::None)
      co_await write(service, change);
  }
}

Awaitable<void> VersionRecorder::write(std::string service,
                                       RecordChange change) {
  KnownVersions known = Servers.knownVersions(service, MonoClock::now());
  VersionRecord record{service, known.Possible, ObjectVersions[service]};
  std::string_view outcome = "written";
  MonoTime start = MonoClock::now();
  try {
    record.Version =
        co_await Store.put(VersionRecordKind, recordName(service),
                           encodeRecord(record), ObjectVersions[service]);
  } catch (const store::StoreError &e) {
    if (e.Reason == store::Failure::Unavailable ||
        e.Reason == store::Failure::RateLimited)
      throw;
    // Another process may have written it, or this one.
    outcome = "read again";
  }
  Metrics.count("sardineford_version_records_total",
                {{"outcome", std::string(outcome)}});
  log::event(Category::Store, log::Level::Info, "version_record",
             {{"service", service},
              {"change", change == RecordChange::Add ? "add" : "remove"},
              {"versions", fmt::format("{}", fmt::join(record.Versions, ","))},
              {"rank", Position ? Position->Rank : 0},
              {"outcome", outcome},
              {"took_ms", toMilliseconds(MonoClock::now() - start).count()}});
  if (outcome != "written") {
    co_await readOne(service);
    co_return;
  }
  if (apply(record, "local") && Publish)
    Publish(record);
}

Awaitable<void> VersionRecorder::readOne(std::string service) {
  std::optional<store::Object> found =
      co_await Store.get(VersionRecordKind, recordName(service));
  if (!found) {
    ObjectVersions[service] = 0;
    co_return;
  }
  try {
    apply(decodeRecord(found->Value, found->Version), "store");
  } catch (const std::exception &e) {
    // It is overwritten by the next change.
    ObjectVersions[service] = found->Version;
    log::event(Category::Store, log::Level::Warning, "object_skipped",
               {{"kind", found->Kind},
                {"name", found->Name},
                {"revision", store::revisionOf(found->Version)},
                {"error", std::string_view(e.what())}});
  }
}

bool VersionRecorder::mayBegin(const std::string &service,
                               const std::string &version, MonoTime now) const {
  if (Servers.isRecorded(service, version))
    return true;
  auto it = Pending.find(service);
  return it != Pending.end() && it->second.Change == RecordChange::Add &&
         now - it->second.Since >= MaxRecordDelay;
}

bool VersionRecorder::apply(const VersionRecord &record,
                            std::string_view source) {
  uint64_t &known = ObjectVersions[record.Service];
  if (record.Version <= known)
    return false;
  known = record.Version;
  Servers.applyRecord(record, MonoClock::now());
  Pending.erase(record.Service);
  log::event(Category::Store, log::Level::Info, "version_record_applied",
             {{"service", record.Service},
              {"versions", fmt::format("{}", fmt::join(record.Versions, ","))},
              {"revision", store::revisionOf(record.Version)},
              {"source", source}});
  if (OnApplied)
    OnApplied(record.Service);
  return true;
}

void VersionRecorder::applyPublished(const VersionRecord &record) {
  // What the store holds counts until it is read.
  if (IsRead)
    apply(record, "peer");
}

} // namespace sardineford::fleet
