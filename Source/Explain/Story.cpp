#include "Explain/Story.h"

#include <boost/json.hpp>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <set>

namespace sardineford::explain {

namespace json = boost::json;

namespace {

/// Beliefs that changed this long before a request may explain it.
constexpr Milliseconds BeforeRequest{3'000};

std::string textOf(const json::object &o, const char *name) {
  const json::value *v = o.if_contains(name);
  return v && v->is_string() ? std::string(v->as_string()) : std::string();
}

/// Lines that tell of a belief, not of one request.
bool isBelief(const Line &line) {
  static const std::set<std::string> events = {
      "configuration",   "server",
      "dependency_lost", "dependency_regained",
      "readiness",       "started",
      "stopping",        "stopped",
      "reload",          "watch_renewed",
      "lines_dropped",   "server_return",
      "object_skipped"};
  return events.contains(line.Event);
}

} // namespace

std::vector<Line> readLines(std::istream &in) {
  std::vector<Line> out;
  for (std::string text; std::getline(in, text);) {
    size_t at = text.find('{');
    if (at == std::string::npos)
      continue;
    boost::system::error_code ec;
    json::value v = json::parse(std::string_view(text).substr(at), ec);
    if (ec || !v.is_object())
      continue;
    Line line;
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

std::vector<Line> storyOf(const std::vector<Line> &all,
                          const std::string &request) {
  std::vector<Line> story;
  std::set<std::string> processes;
  for (const Line &it : all) {
    if (textOf(it.Fields, "request") != request)
      continue;
    processes.insert(it.Process);
    story.push_back(it);
  }
  if (story.empty())
    return story;
  auto byTime = [](const Line &a, const Line &b) { return a.Time < b.Time; };
  auto [first, last] = std::minmax_element(story.begin(), story.end(), byTime);
  Milliseconds from = first->Time - BeforeRequest;
  Milliseconds to = last->Time;
  for (const Line &it : all)
    if (isBelief(it) && processes.contains(it.Process) && it.Time >= from &&
        it.Time <= to)
      story.push_back(it);
  std::stable_sort(story.begin(), story.end(), byTime);
  return story;
}

std::string describe(const Line &line, Milliseconds start) {
  std::string out =
      fmt::format("{:>8} ms  {}  {}:", (line.Time - start).count(),
                  line.Process, line.Event);
  static const std::set<std::string> shown = {"time_ms", "process",  "event",
                                              "level",   "category", "request"};
  for (const auto &it : line.Fields) {
    if (shown.contains(std::string(it.key())))
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
