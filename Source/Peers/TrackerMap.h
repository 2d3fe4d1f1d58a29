#pragma once

#include "Peers/RunningProcess.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace sardineford::peers {

/// Assigns each backend server to the process that tracks its load, by
/// rendezvous hashing: all processes that know the same peers agree without
/// messages, and a process that comes or goes moves only its own servers. The
/// tracker is in the failure domain of the server, so that a domain that is cut
/// off keeps the trackers of its servers, and questions within it cost no
/// traffic between domains.
class TrackerMap {
public:
  /// Sets the processes, in any order. Returns false if they are unchanged.
  bool setProcesses(const std::vector<RunningProcess> &processes);
  /// Returns the tracker of a server; an empty endpoint without processes. A
  /// process of any domain tracks it if its own domain has too few processes
  /// for its servers, or none.
  const http::Endpoint &trackerOf(const std::string &server,
                                  const std::string &failureDomain);

private:
  struct Process {
    http::Endpoint Address;
    uint64_t Hash = 0;
  };

  /// Processes that track servers, and the trackers found so far by server.
  struct Trackers {
    std::vector<Process> Processes;
    std::unordered_map<std::string, http::Endpoint> Cache;
  };

  static const http::Endpoint &find(Trackers &among, const std::string &server);

  std::vector<RunningProcess> All;
  Trackers OfAll;
  std::map<std::string, Trackers> ByDomain;
};

} // namespace sardineford::peers
