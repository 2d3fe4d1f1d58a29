#pragma once

#include "Sardineford/Http/Message.h"

#include <string>

namespace sardineford::peers {

/// A process of the fleet that is known to run. The order is that of the
/// groups, so that the processes of a failure domain share groups.
struct RunningProcess {
  std::string FailureDomain;
  http::Endpoint Address;

  bool operator==(const RunningProcess &) const = default;
  auto operator<=>(const RunningProcess &) const = default;
};

} // namespace sardineford::peers
