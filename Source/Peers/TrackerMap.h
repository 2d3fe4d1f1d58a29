#pragma once

#include "Sardineford/Http/Message.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace sardineford::peers {

/// Assigns each backend server to the process that tracks its load, by
/// rendezvous hashing: all processes that know the same peers agree without
/// messages, and a process that comes or goes moves only its own servers.
class TrackerMap {
public:
  /// Sets the processes, in any order. Returns false if they are unchanged.
  bool setProcesses(const std::vector<http::Endpoint> &processes);
  /// Returns the tracker of a server; an empty endpoint without processes.
  const http::Endpoint &trackerOf(const std::string &server);

private:
  struct Process {
    http::Endpoint Address;
    uint64_t Hash = 0;
  };

  std::vector<http::Endpoint> Addresses;
  std::vector<Process> Processes;
  std::unordered_map<std::string, http::Endpoint> Cache;
};

} // namespace sardineford::peers
