#pragma once

#include "Sardineford/Http/Message.h"

#include <sys/types.h>

#include <map>
#include <string>

namespace sardineford::standins {

/// What the system tells of a process.
struct ProcessUsage {
  /// Processor time used since its start, in seconds.
  double ProcessorSeconds = 0;
  double ResidentMegabytes = 0;
};

ProcessUsage readProcessUsage(pid_t id);

/// Figures of a process's /metrics page by name and labels as written.
std::map<std::string, double> readMetrics(const http::Endpoint &at);

} // namespace sardineford::standins
