#pragma once

#include <cstddef>
#include <vector>

namespace sardineford::peers {

/// Recipients of one process, as positions in the sorted list of all processes.
struct MeshPlan {
  /// Receive the report of the process.
  std::vector<size_t> SameGroup;
  /// Receive the report of the process and those of its group.
  std::vector<size_t> OtherGroups;
};

/// Returns whether so many processes form several groups.
bool isGrouped(size_t processes);

/// Plans the distribution of reports among all processes in two steps. The
/// number of groups is about the square root of the number of processes. Each
/// process sends its report to its group, and then relays the reports of its
/// group to a few processes of every other group. All reports reach all
/// processes, and the number of recipients of a process grows with the square
/// root of the number of processes instead of linearly. A small number of
/// processes forms a single group without relaying.
MeshPlan planMesh(size_t processes, size_t local);

} // namespace sardineford::peers
