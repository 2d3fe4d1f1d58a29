#pragma once

#include "Sardineford/Http/Message.h"

#include <sys/types.h>

#include <map>
#include <string>

namespace sardineford::standins {

/// Resource usage of a process.
struct ProcessUsage {
  /// User and system time since the start of the process.
  double ProcessorSeconds = 0;
  double ResidentMegabytes = 0;
};

ProcessUsage readProcessUsage(pid_t id);

/// Returns the values of a process's /metrics page, by name with labels.
std::map<std::string, double> readMetrics(const http::Endpoint &at);

} // namespace sardineford::standins
