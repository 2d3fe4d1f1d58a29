#include "Sardineford/Common/Log.h"

#include "Common/BoundedSink.h"

#include <boost/json.hpp>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <array>
#include <optional>

namespace sardineford::log {

namespace {

constexpr std::array<std::string_view, 15> CategoryNames = {
    "common",     "http",    "store",   "config",   "plan",
    "roles",      "routing", "once",    "exchange", "entry",
    "controller", "standin", "gateway", "fleet",    "peers"};

constexpr std::array<std::string_view, 6> LevelNames = {
    "trace", "debug", "info", "warning", "error", "off"};

struct State {
  std::array<Level, CategoryNames.size()> Levels{};
  bool JsonLines = false;
  std::string Process;
  std::shared_ptr<spdlog::logger> Logger;
  std::shared_ptr<BoundedSink> Bounded;
};

State &state() {
  static State instance = [] {
    State s;
    s.Levels.fill(Level::Warning);
    s.Logger = spdlog::stderr_logger_st("sardineford");
    s.Logger->set_level(spdlog::level::trace);
    return s;
  }();
  return instance;
}

spdlog::level::level_enum toSpdlog(Level l) {
  switch (l) {
  case Level::Trace:
    return spdlog::level::trace;
  case Level::Debug:
    return spdlog::level::debug;
  case Level::Info:
    return spdlog::level::info;
  case Level::Warning:
    return spdlog::level::warn;
  case Level::Error:
    return spdlog::level::err;
  case Level::Off:
    return spdlog::level::off;
  }
  return spdlog::level::info;
}

std::optional<Level> parseLevel(std::string_view text) {
  for (size_t i = 0; i < LevelNames.size(); ++i)
    if (LevelNames[i] == text)
      return static_cast<Level>(i);
  return std::nullopt;
}

boost::json::value toJson(const Field::Value &v) {
  return std::visit([](const auto &it) { return boost::json::value(it); }, v);
}

std::string eventLine(Category c, Level l, std::string_view name,
                      std::initializer_list<Field> fields) {
  auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  boost::json::object line = {
      {"time_ms", now.count()},
      {"level", LevelNames[static_cast<size_t>(l)]},
      {"process", state().Process},
      {"category", CategoryNames[static_cast<size_t>(c)]},
      {"event", name}};
  for (const Field &it : fields)
    line[it.Name] = toJson(it.Data);
  return boost::json::serialize(line);
}

} // namespace

void start(const Options &options) {
  State &s = state();
  s.JsonLines = options.JsonLines;
  s.Process = options.Process;
  s.Levels.fill(options.DefaultLevel);
  if (options.BoundedStdout) {
    s.Bounded = std::make_shared<BoundedSink>(1, options.BytesPerSecond,
                                              formatDroppedLines);
    s.Logger = std::make_shared<spdlog::logger>("sardineford", s.Bounded);
    s.Logger->set_level(spdlog::level::trace);
  }
  s.Logger->set_pattern(options.JsonLines ? "%v"
                                          : "%Y-%m-%dT%H:%M:%S.%e %L %v");
  s.Logger->flush_on(spdlog::level::info);
}

bool setLevel(std::string_view category, std::string_view level) {
  std::optional<Level> l = parseLevel(level);
  if (!l)
    return false;
  if (category == "all") {
    state().Levels.fill(*l);
    return true;
  }
  for (size_t i = 0; i < CategoryNames.size(); ++i) {
    if (CategoryNames[i] != category)
      continue;
    state().Levels[i] = *l;
    return true;
  }
  return false;
}

void setBytesPerSecond(uint64_t n) {
  if (state().Bounded)
    state().Bounded->setBytesPerSecond(n);
}

bool enabled(Category c, Level l) {
  return l >= state().Levels[static_cast<size_t>(c)];
}

void write(Category c, Level l, std::string_view message) {
  State &s = state();
  if (s.JsonLines) {
    event(c, l, "message", {{"message", message}});
    return;
  }
  std::string_view category = CategoryNames[static_cast<size_t>(c)];
  s.Logger->log(toSpdlog(l), "{} {}: {}", s.Process, category, message);
}

std::string formatDroppedLines(uint64_t dropped) {
  return eventLine(Category::Common, Level::Warning, "lines_dropped",
                   {{"total", dropped}});
}

uint64_t droppedLines() {
  return state().Bounded ? state().Bounded->dropped() : 0;
}

void event(Category c, Level l, std::string_view name,
           std::initializer_list<Field> fields) {
  if (enabled(c, l))
    state().Logger->log(toSpdlog(l), "{}", eventLine(c, l, name, fields));
}

} // namespace sardineford::log
