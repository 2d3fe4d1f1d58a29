#pragma once

#include "Peers/RunningProcess.h"

#include <cstdint>
#include <vector>

namespace sardineford::peers {

/// Processes that receive the record of a stream at once.
constexpr size_t HoldersAtOnce = 2;
/// With the process that receives it a little later, while the stream runs.
constexpr size_t HoldersPerStream = 3;
/// One more than hold the record is asked first: the list of processes may have
/// changed since, and the process that began the stream may now be in it.
constexpr size_t AskedFirst = HoldersPerStream + 1;
constexpr size_t MaxHolderCandidates = 2 * AskedFirst;

/// A running process and the hash of its address.
struct HashedProcess {
  RunningProcess Process;
  uint64_t Hash = 0;
};

std::vector<HashedProcess>
hashProcesses(const std::vector<RunningProcess> &processes);
HashedProcess hashProcess(const RunningProcess &process);

/// Returns the processes but the local one that may hold the record of a
/// stream, the likely ones first, by rendezvous hashing. The holders lie in
/// different failure domains where the candidates do; since these are few, a
/// small domain does not get more of the records than it can hold.
std::vector<http::Endpoint>
chooseHolders(uint64_t stream, const std::vector<HashedProcess> &processes,
              const http::Endpoint &local);

/// Returns whether a process may be among the holders of a stream, without the
/// work of choosing them.
bool mayHold(uint64_t stream, const HashedProcess &process,
             const std::vector<HashedProcess> &processes);

} // namespace sardineford::peers
