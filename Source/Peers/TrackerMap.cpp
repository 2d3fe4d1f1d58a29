#include "Peers/TrackerMap.h"

#include "Sardineford/Common/Random.h"

namespace sardineford::peers {

bool TrackerMap::setProcesses(const std::vector<http::Endpoint> &processes) {
  if (processes == Addresses)
    return false;
  Addresses = processes;
  Processes.clear();
  for (const http::Endpoint &it : processes)
    Processes.push_back({it, hash64(http::toString(it))});
  Cache.clear();
  return true;
}

const http::Endpoint &TrackerMap::trackerOf(const std::string &server) {
  auto [it, isNew] = Cache.try_emplace(server);
  if (!isNew)
    return it->second;
  uint64_t highest = 0;
  for (const Process &process : Processes) {
    uint64_t score = hash64(server, process.Hash);
    if (score < highest)
      continue;
    highest = score;
    it->second = process.Address;
  }
  return it->second;
}

} // namespace sardineford::peers
