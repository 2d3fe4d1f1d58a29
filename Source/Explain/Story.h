#pragma once

#include "Sardineford/Common/Time.h"

#include <boost/json/object.hpp>

#include <istream>
#include <string>
#include <vector>

namespace sardineford::explain {

/// One line of a daemon's log.
struct Line {
  Milliseconds Time{0};
  std::string Process;
  std::string Event;
  boost::json::object Fields;
};

/// Reads the lines of one collected log. Text before the first brace of a line
/// is passed over, and so are lines that are not JSON.
std::vector<Line> readLines(std::istream &in);

/// What was decided on one request, in order of time, and what its processes
/// came to believe shortly before and meanwhile.
std::vector<Line> storyOf(const std::vector<Line> &all,
                          const std::string &request);

/// A line as text, with times relative to the given one.
std::string describe(const Line &line, Milliseconds start);

} // namespace sardineford::explain
