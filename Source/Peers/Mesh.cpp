#include "Peers/Mesh.h"

#include <cmath>

namespace sardineford::peers {

namespace {

/// Up to this many processes, relaying saves too little to justify its delay.
constexpr size_t MaxUngroupedProcesses = 12;

/// Groups are consecutive positions; their sizes differ by at most one.
struct Groups {
  size_t Processes = 0;
  size_t Count = 1;

  size_t begin(size_t group) const { return group * Processes / Count; }
  size_t size(size_t group) const { return begin(group + 1) - begin(group); }
  size_t groupOf(size_t process) const {
    size_t group = process * Count / Processes;
    while (begin(group + 1) <= process)
      ++group;
    return group;
  }
};

} // namespace

bool isGrouped(size_t processes) { return processes > MaxUngroupedProcesses; }

MeshPlan planMesh(size_t processes, size_t local) {
  Groups groups{processes, 1};
  if (isGrouped(processes))
    groups.Count = static_cast<size_t>(
        std::lround(std::sqrt(static_cast<double>(processes))));
  MeshPlan out;
  size_t localGroup = groups.groupOf(local);
  size_t localOffset = local - groups.begin(localGroup);
  for (size_t i = groups.begin(localGroup); i < groups.begin(localGroup + 1);
       ++i)
    if (i != local)
      out.SameGroup.push_back(i);
  // Each process of another group receives from exactly one of the local group.
  for (size_t group = 0; group < groups.Count; ++group) {
    if (group == localGroup)
      continue;
    for (size_t offset = 0; offset < groups.size(group); ++offset)
      if (offset % groups.size(localGroup) == localOffset)
        out.OtherGroups.push_back(groups.begin(group) + offset);
  }
  return out;
}

} // namespace sardineford::peers
