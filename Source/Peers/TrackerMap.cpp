#include "Peers/TrackerMap.h"

#include "Sardineford/Common/Random.h"

#include <algorithm>

namespace sardineford::peers {

namespace {

/// A failure domain with a smaller part of its even share of the processes does
/// not track its servers itself.
constexpr size_t MinShareDivisor = 3;

} // namespace

bool TrackerMap::setProcesses(const std::vector<RunningProcess> &processes) {
  if (processes == All)
    return false;
  All = processes;
  OfAll = {};
  ByDomain.clear();
  for (const RunningProcess &it : processes) {
    Process process{it.Address, hash64(http::toString(it.Address))};
    OfAll.Processes.push_back(process);
    ByDomain[it.FailureDomain].Processes.push_back(process);
  }
  size_t minProcesses =
      All.size() / (MinShareDivisor * std::max<size_t>(1, ByDomain.size()));
  std::erase_if(ByDomain, [&](const auto &it) {
    return it.second.Processes.size() < minProcesses;
  });
  return true;
}

const http::Endpoint &TrackerMap::trackerOf(const std::string &server,
                                            const std::string &failureDomain) {
  auto it = ByDomain.find(failureDomain);
  return find(it == ByDomain.end() ? OfAll : it->second, server);
}

const http::Endpoint &TrackerMap::find(Trackers &among,
                                       const std::string &server) {
  auto [it, isNew] = among.Cache.try_emplace(server);
  if (!isNew)
    return it->second;
  uint64_t highest = 0;
  for (const Process &process : among.Processes) {
    uint64_t score = hash64(server, process.Hash);
    if (score < highest)
      continue;
    highest = score;
    it->second = process.Address;
  }
  return it->second;
}

} // namespace sardineford::peers
