#include "Explain/RequestTrace.h"

#include <boost/json.hpp>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <set>

namespace sardineford::explain {

namespace json = boost::json;

namespace {

/// State changes up to this long before a request are part of its trace.
constexpr Milliseconds StateChangeLookback{3'000};

std::string textOf(const json::object &o, const char *name) {
  const json::value *v = o.if_contains(name);
  return v && v->is_string() ? std::string(v->as_string()) : std::string();
}

/// Returns whether the line reports a state change of the process rather than a
/// step of one request.
bool isStateChange(const LogLine &line) {
  static const std::set<std::string> events = {
      "configuration",   "server",
      "dependency_lost", "dependency_regained",
      "store_restored",  "changes_applied",
      "readiness",       "started",
      "stopping",        "stopped",
      "reload",          "watch_renewed",
      "lines_dropped",   "server_return",
      "server_closed",   "object_skipped"};
  return events.contains(line.Event);
}

} // namespace

std::vector<LogLine> readLines(std::istream &in) {
  std::vector<LogLine> out;
  for (std::string text; std::getline(in, text);) {
    size_t at = text.find('{');
    if (at == std::string::npos)
      continue;
    boost::system::error_code ec;
    json::value v = json::parse(std::string_view(text).substr(at), ec);
    if (ec || !v.is_object())
      continue;
    LogLine line;
    line.Fields = v.as_object();
    line.Event = textOf(line.Fields, "event");
    line.Process = textOf(line.Fields, "process");
    const json::value *time = line.Fields.if_contains("time_ms");
    if (line.Event.empty() || !time || !time->is_number())
      continue;
    line.Time = Milliseconds(time->to_number<int64_t>());
    out.push_back(std::move(line));
  }
  return out;
}

std::vector<LogLine> traceRequest(const std::vector<LogLine> &all,
                                  const std::string &request) {
  std::vector<LogLine> trace;
  std::set<std::string> processes;
  for (const LogLine &it : all) {
    if (textOf(it.Fields, "request") != request)
      continue;
    processes.insert(it.Process);
    trace.push_back(it);
  }
  if (trace.empty())
    return trace;
  auto byTime = [](const LogLine &a, const LogLine &b) {
    return a.Time < b.Time;
  };
  auto [first, last] = std::minmax_element(trace.begin(), trace.end(), byTime);
  Milliseconds from = first->Time - StateChangeLookback;
  Milliseconds to = last->Time;
  for (const LogLine &it : all)
    if (isStateChange(it) && processes.contains(it.Process) &&
        it.Time >= from && it.Time <= to)
      trace.push_back(it);
  std::stable_sort(trace.begin(), trace.end(), byTime);
  return trace;
}

std::string formatLine(const LogLine &line, Milliseconds start) {
  std::string out =
      fmt::format("{:>8} ms  {}  {}:", (line.Time - start).count(),
                  line.Process, line.Event);
  static const std::set<std::string> omitted = {
      "time_ms", "process", "event", "level", "category", "request"};
  for (const auto &it : line.Fields) {
    if (omitted.contains(std::string(it.key())))
      continue;
    std::string value = it.value().is_string()
                            ? std::string(it.value().as_string())
                            : json::serialize(it.value());
    if (!value.empty())
      out += fmt::format(" {}={}", std::string_view(it.key()), value);
  }
  return out;
}

} // namespace sardineford::explain
