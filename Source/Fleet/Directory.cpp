#include "Sardineford/Fleet/Directory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace sardineford::fleet {

namespace {

/// Returns whether a server started so recently that it is new, by the time of
/// day of its host and of this one.
bool hasJustStarted(const ServerEntry &entry) {
  auto age = std::chrono::system_clock::now().time_since_epoch() -
             Milliseconds(entry.StartedMs);
  return age < NewServerTime;
}

} // namespace

void Directory::put(const ServerEntry &entry) {
  Missing.erase(entry.Id);
  auto departed = Departures.find(entry.Id);
  if (departed != Departures.end() &&
      departed->second.StartedMs == entry.StartedMs) {
    handleReappearance(entry, departed->second);
    return;
  }
  auto it = ById.find(entry.Id);
  bool isNew = it == ById.end() ||
               it->second->Entry.StartedMs != entry.StartedMs ||
               it->second->Entry.Address != entry.Address ||
               it->second->Entry.Service != entry.Service ||
               it->second->Entry.SoftwareVersion != entry.SoftwareVersion;
  if (!isNew && it->second->Entry == entry)
    return;
  if (isNew) {
    if (it != ById.end()) {
      it->second->Leaving = true;
      recordDeparture(it->second->Entry);
    }
    auto server = std::make_shared<Server>();
    server->Entry = entry;
    server->Leaving = entry.Draining;
    bool isEstablished = !Loaded || AppliesFirstList;
    if (!isEstablished || hasJustStarted(entry))
      server->AvailableSince = MonoClock::now();
    ById[entry.Id] = server;
    rebuildIndex();
    OnChange(*server, entry.Draining ? "found draining" : "found");
    return;
  }
  Server &s = *it->second;
  bool startsDraining = entry.Draining && !s.Leaving;
  s.Entry = entry;
  if (startsDraining) {
    s.Leaving = true;
    rebuildIndex();
  }
  OnChange(s, startsDraining ? "draining" : "changed");
}

void Directory::handleReappearance(const ServerEntry &entry,
                                   Departure &departure) {
  if (entry.Draining) {
    departure.WentMissing = false;
    AwaitingReadmission.erase(entry.Id);
    return;
  }
  if (!departure.WentMissing || awaitsReadmission(entry))
    return;
  AwaitingReadmission[entry.Id] = entry;
  if (OnReappearance)
    OnReappearance(entry);
}

bool Directory::awaitsReadmission(const ServerEntry &entry) const {
  auto it = AwaitingReadmission.find(entry.Id);
  return it != AwaitingReadmission.end() && it->second == entry;
}

bool Directory::readmit(const ServerEntry &entry) {
  if (!awaitsReadmission(entry))
    return false;
  AwaitingReadmission.erase(entry.Id);
  Departures.erase(entry.Id);
  put(entry);
  return true;
}

void Directory::drop(const std::string &id, std::string_view reason,
                     bool wentMissing) {
  Missing.erase(id);
  AwaitingReadmission.erase(id);
  auto it = ById.find(id);
  if (it == ById.end())
    return;
  ServerPtr s = it->second;
  Departures[id] = {s->Entry.StartedMs, wentMissing && !s->Leaving};
  s->Leaving = true;
  recordDeparture(s->Entry);
  ById.erase(it);
  rebuildIndex();
  OnChange(*s, reason);
}

void Directory::remove(const std::string &id, MonoTime graceEnd, MonoTime now) {
  if (graceEnd <= now && !Missing.contains(id))
    drop(id, "removed", true);
  else if (ById.contains(id))
    Missing.try_emplace(id, GracePeriod{graceEnd});
}

void Directory::replaceAll(const std::vector<ServerEntry> &entries,
                           MonoTime graceEnd, MonoTime now) {
  AppliesFirstList = !std::exchange(Loaded, true);
  std::set<std::string> present;
  for (const ServerEntry &it : entries) {
    present.insert(it.Id);
    put(it);
  }
  AppliesFirstList = false;
  std::vector<std::string> missing;
  for (const auto &[id, server] : ById)
    if (!present.contains(id))
      missing.push_back(id);
  for (const std::string &it : missing)
    remove(it, graceEnd, now);
}

void Directory::removeMissing(MonoTime now) {
  std::vector<std::string> expired;
  for (const auto &[id, grace] : Missing)
    if (grace.End <= now)
      expired.push_back(id);
  for (const std::string &it : expired)
    drop(it, "still missing after the store outage", true);
}

void Directory::keepMissing(MonoTime graceEnd) {
  for (auto &[id, grace] : Missing) {
    if (graceEnd <= grace.End || grace.Extensions >= MaxGraceExtensions)
      continue;
    grace.End = graceEnd;
    ++grace.Extensions;
  }
}

void Directory::markLeaving(const std::string &id, int64_t startedMs,
                            std::string_view reason, MonoTime now) {
  auto it = ById.find(id);
  if (it == ById.end()) {
    // Its entry is missing, and streams still run there. The entry may
    // reappear.
    Departure &departure = Departures[id];
    if (startedMs < departure.StartedMs)
      return;
    departure = {startedMs, false};
    AwaitingReadmission.erase(id);
    return;
  }
  if (it->second->Entry.StartedMs != startedMs || it->second->Leaving)
    return;
  it->second->Leaving = true;
  it->second->LeavingSaidAt = now;
  Departures[id] = {startedMs, false};
  rebuildIndex();
  OnChange(*it->second, reason);
}

void Directory::removePermanently(const ServerPtr &server,
                                  std::string_view reason) {
  auto it = ById.find(server->Entry.Id);
  if (it != ById.end() && it->second == server)
    drop(server->Entry.Id, reason, false);
}

const std::vector<ServerPtr> &
Directory::ofService(const std::string &service) const {
  static const std::vector<ServerPtr> none;
  auto it = ByService.find(service);
  return it == ByService.end() ? none : it->second;
}

std::vector<ServerPtr> Directory::leavingOf(const std::string &service) const {
  std::vector<ServerPtr> out;
  for (const auto &[id, server] : ById)
    if (server->Leaving && server->Entry.Service == service)
      out.push_back(server);
  return out;
}

void Directory::recordDeparture(const ServerEntry &entry) {
  DepartedVersions[entry.Service][entry.SoftwareVersion] = MonoClock::now();
}

std::set<std::string> Directory::softwareVersions(const std::string &service,
                                                  MonoTime now) const {
  std::set<std::string> out;
  auto present = PresentVersions.find(service);
  if (present != PresentVersions.end())
    out = present->second;
  auto departed = DepartedVersions.find(service);
  if (departed != DepartedVersions.end())
    for (const auto &[version, departedAt] : departed->second)
      if (now - departedAt < StreamMemory)
        out.insert(version);
  return out;
}

KnownVersions Directory::knownVersions(const std::string &service,
                                       MonoTime now) const {
  KnownVersions out;
  if (auto it = PresentVersions.find(service); it != PresentVersions.end())
    out.Present = it->second;
  out.Possible = softwareVersions(service, now);
  if (auto it = Records.find(service); it != Records.end())
    out.Recorded = it->second;
  return out;
}

bool Directory::isRecorded(const std::string &service,
                           const std::string &version) const {
  auto it = Records.find(service);
  return it != Records.end() && it->second.contains(version);
}

void Directory::applyRecord(const VersionRecord &record, MonoTime now) {
  std::set<std::string> &known = Records[record.Service];
  const std::set<std::string> &present = PresentVersions[record.Service];
  for (const std::string &it : record.Versions)
    if (!known.contains(it) && !present.contains(it))
      DepartedVersions[record.Service][it] = now;
  known = record.Versions;
}

ServerPtr Directory::find(const std::string &id) const {
  auto it = ById.find(id);
  return it == ById.end() ? nullptr : it->second;
}

void Directory::rebuildIndex() {
  ByService.clear();
  PresentVersions.clear();
  for (const auto &[id, server] : ById) {
    // Servers that leave still run streams.
    PresentVersions[server->Entry.Service].insert(
        server->Entry.SoftwareVersion);
    if (!server->Leaving)
      ByService[server->Entry.Service].push_back(server);
  }
}

} // namespace sardineford::fleet
