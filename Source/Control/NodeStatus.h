#pragma once

#include "Sardineford/Common/Time.h"
#include "Sardineford/Http/Message.h"

#include <boost/json.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace sardineford::control {

/// Backend servers of one service as one daemon sees them.
struct ServerCounts {
  unsigned Ready = 0;
  unsigned HeldOff = 0;
  unsigned Leaving = 0;
};

/// State of one daemon, from its metrics.
struct NodeStatus {
  http::Endpoint Address;
  /// Why the metrics could not be read; empty if they were.
  std::string Error;
  bool IsReady = false;
  uint64_t ConfigurationVersion = 0;
  Seconds ConfigurationAge{0};
  Seconds ServersAge{0};
  unsigned Processes = 0;
  std::map<std::string, ServerCounts> Servers;
  /// Rejected or abandoned requests since the start, by cause.
  std::map<std::string, uint64_t> GivenUp;
  /// Lowest of all services; empty before the first request.
  std::optional<double> RetryBudgetLeft;
  /// Mean since the start.
  Seconds EventLoopLag{0};
};

/// Reads the state of a daemon from the text of its metrics.
NodeStatus parseNodeStatus(const http::Endpoint &address,
                           std::string_view metricsText);

enum class Severity { None, Notice, Degraded, NotServing };

struct NodeProblem {
  Severity Level = Severity::None;
  std::string Text;
};

/// A daemon and what is wrong with it, worst first.
struct NodeAssessment {
  NodeStatus Node;
  std::vector<NodeProblem> Problems;

  Severity worst() const {
    return Problems.empty() ? Severity::None : Problems.front().Level;
  }
};

/// Compares the daemons with their limits and with each other. Returns them
/// with the worst first.
std::vector<NodeAssessment> assessNodes(std::vector<NodeStatus> nodes);

/// Writes a summary and one line for each daemon with a problem.
void printAssessments(const std::vector<NodeAssessment> &nodes,
                      std::ostream &out);
/// Returns all daemons and their problems.
boost::json::object toJson(const std::vector<NodeAssessment> &nodes);

} // namespace sardineford::control
