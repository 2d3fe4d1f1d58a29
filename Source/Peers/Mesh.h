#pragma once

#include <cstddef>
#include <vector>

namespace sardineford::peers {

/// Whom one process sends to, as places in the order of all processes.
struct MeshPlan {
  /// These get its own report.
  std::vector<size_t> Near;
  /// These get its own report and those that the near ones told.
  std::vector<size_t> Far;
};

/// Spreads reports over many processes in two steps. The processes form about
/// as many groups as the root of their number; each tells its own group, and
/// then a few of every other group what its own group told. Everyone hears of
/// everyone, and sends grow with the root of the number instead of the number.
/// A few processes tell one another directly.
MeshPlan planMesh(size_t processes, size_t own);

} // namespace sardineford::peers
