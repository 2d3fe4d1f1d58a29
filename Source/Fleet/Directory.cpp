#include "Sardineford/Fleet/Directory.h"

#include <set>

namespace sardineford::fleet {

void Directory::put(const ServerEntry &entry) {
  Missing.erase(entry.Id);
  auto left = Left.find(entry.Id);
  if (left != Left.end() && left->second.StartedMs == entry.StartedMs) {
    noteReturn(entry, left->second);
    return;
  }
  auto it = ById.find(entry.Id);
  bool isNew = it == ById.end() ||
               it->second->Entry.StartedMs != entry.StartedMs ||
               it->second->Entry.Address != entry.Address ||
               it->second->Entry.Service != entry.Service;
  if (!isNew && it->second->Entry == entry)
    return;
  if (isNew) {
    if (it != ById.end())
      it->second->Leaving = true;
    auto server = std::make_shared<Server>();
    server->Entry = entry;
    server->Leaving = entry.Draining;
    ById[entry.Id] = server;
    rebuild();
    Changed(*server, entry.Draining ? "found draining" : "found");
    return;
  }
  Server &s = *it->second;
  bool leaves = entry.Draining && !s.Leaving;
  s.Entry = entry;
  if (leaves) {
    s.Leaving = true;
    rebuild();
  }
  Changed(s, leaves ? "draining" : "changed");
}

void Directory::noteReturn(const ServerEntry &entry, Departure &departure) {
  if (entry.Draining) {
    departure.WentMissing = false;
    Returning.erase(entry.Id);
    return;
  }
  if (!departure.WentMissing || awaitsReadmission(entry))
    return;
  Returning[entry.Id] = entry;
  if (Returned)
    Returned(entry);
}

bool Directory::awaitsReadmission(const ServerEntry &entry) const {
  auto it = Returning.find(entry.Id);
  return it != Returning.end() && it->second == entry;
}

bool Directory::readmit(const ServerEntry &entry) {
  if (!awaitsReadmission(entry))
    return false;
  Returning.erase(entry.Id);
  Left.erase(entry.Id);
  put(entry);
  return true;
}

void Directory::drop(const std::string &id, std::string_view why,
                     bool wentMissing) {
  Missing.erase(id);
  Returning.erase(id);
  auto it = ById.find(id);
  if (it == ById.end())
    return;
  ServerPtr s = it->second;
  Left[id] = {s->Entry.StartedMs, wentMissing && !s->Leaving};
  s->Leaving = true;
  ById.erase(it);
  rebuild();
  Changed(*s, why);
}

void Directory::remove(const std::string &id, MonoTime doubtUntil,
                       MonoTime now) {
  if (doubtUntil <= now)
    drop(id, "removed", true);
  else if (ById.contains(id))
    Missing[id] = doubtUntil;
}

void Directory::replaceAll(const std::vector<ServerEntry> &entries,
                           MonoTime doubtUntil, MonoTime now) {
  Known = true;
  std::set<std::string> present;
  for (const ServerEntry &it : entries) {
    present.insert(it.Id);
    put(it);
  }
  std::vector<std::string> missing;
  for (const auto &[id, server] : ById)
    if (!present.contains(id))
      missing.push_back(id);
  for (const std::string &it : missing)
    remove(it, doubtUntil, now);
}

void Directory::removeMissing(MonoTime now) {
  std::vector<std::string> gone;
  for (const auto &[id, from] : Missing)
    if (from <= now)
      gone.push_back(id);
  for (const std::string &it : gone)
    drop(it, "still missing after the store's return", true);
}

void Directory::markLeaving(const std::string &id, int64_t startedMs,
                            std::string_view why) {
  auto it = ById.find(id);
  if (it == ById.end() || it->second->Entry.StartedMs != startedMs ||
      it->second->Leaving)
    return;
  it->second->Leaving = true;
  Left[id] = {startedMs, false};
  rebuild();
  Changed(*it->second, why);
}

void Directory::removePermanently(const ServerPtr &server,
                                  std::string_view why) {
  auto it = ById.find(server->Entry.Id);
  if (it != ById.end() && it->second == server)
    drop(server->Entry.Id, why, false);
}

const std::vector<ServerPtr> &
Directory::ofService(const std::string &service) const {
  static const std::vector<ServerPtr> none;
  auto it = ByService.find(service);
  return it == ByService.end() ? none : it->second;
}

ServerPtr Directory::find(const std::string &id) const {
  auto it = ById.find(id);
  return it == ById.end() ? nullptr : it->second;
}

void Directory::rebuild() {
  ByService.clear();
  for (const auto &[id, server] : ById)
    if (!server->Leaving)
      ByService[server->Entry.Service].push_back(server);
}

} // namespace sardineford::fleet
