#include "Peers/OriginHolders.h"

#include "Sardineford/Common/Random.h"

#include <algorithm>
#include <string_view>

namespace sardineford::peers {

namespace {

struct Candidate {
  uint64_t Score = 0;
  const RunningProcess *Process = nullptr;
};

/// Moves the candidates of domains that come up for the first time forward
/// until there are enough holders.
void preferDistinctDomains(std::vector<Candidate> &candidates) {
  size_t end = std::min(HoldersPerStream, candidates.size());
  for (size_t i = 1; i < end; ++i) {
    auto begin = candidates.begin();
    auto next = begin + static_cast<ptrdiff_t>(i);
    auto found = std::find_if(next, candidates.end(), [&](const Candidate &it) {
      return std::none_of(begin, next, [&](const Candidate &chosen) {
        return chosen.Process->FailureDomain == it.Process->FailureDomain;
      });
    });
    if (found == candidates.end())
      return;
    std::rotate(next, found, found + 1);
  }
}

uint64_t scoreOf(uint64_t stream, const HashedProcess &process) {
  std::string_view key(reinterpret_cast<const char *>(&stream), sizeof(stream));
  return hash64(key, process.Hash);
}

} // namespace

HashedProcess hashProcess(const RunningProcess &process) {
  return {process, hash64(http::toString(process.Address))};
}

std::vector<HashedProcess>
hashProcesses(const std::vector<RunningProcess> &processes) {
  std::vector<HashedProcess> out;
  out.reserve(processes.size());
  for (const RunningProcess &it : processes)
    out.push_back(hashProcess(it));
  return out;
}

std::vector<http::Endpoint>
chooseHolders(uint64_t stream, const std::vector<HashedProcess> &processes,
              const http::Endpoint &local) {
  std::vector<Candidate> candidates;
  candidates.reserve(processes.size());
  for (const HashedProcess &it : processes)
    if (it.Process.Address != local)
      candidates.push_back({scoreOf(stream, it), &it.Process});
  size_t n = std::min(MaxHolderCandidates, candidates.size());
  std::partial_sort(
      candidates.begin(), candidates.begin() + static_cast<ptrdiff_t>(n),
      candidates.end(),
      [](const Candidate &a, const Candidate &b) { return a.Score > b.Score; });
  candidates.resize(n);
  preferDistinctDomains(candidates);
  std::vector<http::Endpoint> out;
  out.reserve(candidates.size());
  for (const Candidate &it : candidates)
    out.push_back(it.Process->Address);
  return out;
}

bool mayHold(uint64_t stream, const HashedProcess &process,
             const std::vector<HashedProcess> &processes) {
  uint64_t score = scoreOf(stream, process);
  size_t higher = 0;
  for (const HashedProcess &it : processes)
    if (scoreOf(stream, it) > score && ++higher == MaxHolderCandidates)
      return false;
  return true;
}

} // namespace sardineford::peers
