#pragma once

#include "Sardineford/Common/Time.h"

#include <boost/json/object.hpp>

#include <istream>
#include <string>
#include <vector>

namespace sardineford::explain {

/// One parsed line of a daemon's log.
struct LogLine {
  Milliseconds Time{0};
  std::string Process;
  std::string Event;
  boost::json::object Fields;
};

/// Parses the lines of one log file. Skips any text before the first brace of a
/// line, and lines that are not JSON.
std::vector<LogLine> readLines(std::istream &in);

/// Returns the lines of one request and the state changes of the processes that
/// handled the request, from shortly before the request to its end, in order of
/// time.
std::vector<LogLine> traceRequest(const std::vector<LogLine> &all,
                                  const std::string &request);

/// Formats a line as text, with its time relative to the given start.
std::string formatLine(const LogLine &line, Milliseconds start);

} // namespace sardineford::explain
