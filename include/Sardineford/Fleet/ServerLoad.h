#pragma once

#include "Sardineford/Common/Time.h"

#include <optional>

namespace sardineford::fleet {

/// What a backend server says of its load in a response.
struct ServerLoad {
  unsigned Running = 0;
  unsigned Waiting = 0;
  unsigned Slots = 0;
  /// Ratio of the time that work takes on the server's instance now to the
  /// usual time; empty if the server does not say.
  std::optional<double> TimeRatio;
};

/// The newest load that a server has reported to this process.
struct ReportedLoad {
  ServerLoad Load;
  MonoTime ReceivedAt{};
};

} // namespace sardineford::fleet
