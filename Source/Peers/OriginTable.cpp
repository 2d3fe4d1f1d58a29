#include "Peers/OriginTable.h"

#include "Sardineford/Common/Random.h"

#include <algorithm>

namespace sardineford::peers {

uint64_t hashOfService(std::string_view service) { return hash64(service); }

uint64_t hashOfStream(std::string_view service, std::string_view streamId) {
  return hash64(streamId, hashOfService(service));
}

uint32_t hashOfVersion(std::string_view version) {
  return static_cast<uint32_t>(hash64(version));
}

OriginTable::Record &OriginTable::put(const OriginRecord &record,
                                      MonoTime now) {
  Puts.push_back({now, record.Stream});
  Record &out = Records[record.Stream];
  out.Version = record.Version;
  out.PutAt = now;
  out.BeganAt = now;
  while (Puts.size() > MaxRecords || now - Puts.front().At > OriginAge) {
    auto it = Records.find(Puts.front().Stream);
    if (it != Records.end() && it->second.PutAt == Puts.front().At)
      Records.erase(it);
    Puts.pop_front();
  }
  return out;
}

void OriginTable::putLocal(const OriginRecord &record, uint64_t service,
                           MonoTime now) {
  put(record, now).Service = service;
}

void OriginTable::putHeld(const OriginRecord &record, MonoTime now) {
  put(record, now);
}

void OriginTable::putHandedOver(const KnownOrigin &origin, MonoTime now) {
  if (!find(origin.Record.Stream, now))
    put(origin.Record, now).BeganAt = origin.BeganAt;
}

std::vector<KnownOrigin> OriginTable::recentRecords(Milliseconds age,
                                                    MonoTime now) const {
  std::vector<KnownOrigin> out;
  for (auto put = Puts.rbegin(); put != Puts.rend() && now - put->At <= age;
       ++put) {
    auto it = Records.find(put->Stream);
    if (it == Records.end() || it->second.PutAt != put->At)
      continue;
    bool wasPublished = it->second.WasSent || !it->second.Service;
    if (wasPublished && now - it->second.BeganAt <= age)
      out.push_back({{put->Stream, it->second.Version}, it->second.BeganAt});
  }
  std::stable_sort(out.begin(), out.end(),
                   [](const KnownOrigin &a, const KnownOrigin &b) {
                     return a.BeganAt > b.BeganAt;
                   });
  return out;
}

std::optional<uint32_t> OriginTable::find(uint64_t stream, MonoTime now) const {
  auto it = Records.find(stream);
  if (it == Records.end() || now - it->second.PutAt > OriginAge)
    return std::nullopt;
  return it->second.Version;
}

std::vector<uint64_t> OriginTable::takeUnsent(uint64_t service, MonoTime now) {
  std::vector<uint64_t> out;
  for (auto &[stream, it] : Records) {
    if (it.Service != service || it.WasSent || now - it.PutAt > OriginAge)
      continue;
    it.WasSent = true;
    out.push_back(stream);
  }
  return out;
}

void OriginTable::setSent(uint64_t stream) {
  auto it = Records.find(stream);
  if (it != Records.end())
    it->second.WasSent = true;
}

} // namespace sardineford::peers
