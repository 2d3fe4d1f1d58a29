#include "Peers/Mesh.h"

#include <cmath>

namespace sardineford::peers {

namespace {

/// Up to this many processes the second step saves nothing worth its delay.
constexpr size_t MostWithoutGroups = 12;

/// Groups are runs of the order; their sizes differ by one at most.
struct Groups {
  size_t Processes = 0;
  size_t Number = 1;

  size_t begin(size_t group) const { return group * Processes / Number; }
  size_t size(size_t group) const { return begin(group + 1) - begin(group); }
  size_t of(size_t process) const {
    size_t group = process * Number / Processes;
    while (begin(group + 1) <= process)
      ++group;
    return group;
  }
};

} // namespace

MeshPlan planMesh(size_t processes, size_t own) {
  Groups groups{processes, 1};
  if (processes > MostWithoutGroups)
    groups.Number = static_cast<size_t>(
        std::lround(std::sqrt(static_cast<double>(processes))));
  MeshPlan out;
  size_t home = groups.of(own);
  size_t column = own - groups.begin(home);
  for (size_t i = groups.begin(home); i < groups.begin(home + 1); ++i)
    if (i != own)
      out.Near.push_back(i);
  // Each place of another group is told by exactly one process of this one.
  for (size_t group = 0; group < groups.Number; ++group) {
    if (group == home)
      continue;
    for (size_t at = 0; at < groups.size(group); ++at)
      if (at % groups.size(home) == column)
        out.Far.push_back(groups.begin(group) + at);
  }
  return out;
}

} // namespace sardineford::peers
