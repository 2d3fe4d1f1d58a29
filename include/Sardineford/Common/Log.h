#pragma once

#include <spdlog/fmt/fmt.h>

#include <string>
#include <string_view>

namespace sardineford::log {

/// Log categories, one per subsystem. Each has its own level.
enum class Category {
  Common,
  Http,
  Store,
  Config,
  Plan,
  Roles,
  Routing,
  Once,
  Exchange,
  Entry,
  Controller,
  StandIn,
};

enum class Level { Trace, Debug, Info, Warning, Error, Off };

struct Options {
  bool JsonLines = false;
  Level DefaultLevel = Level::Info;
  /// Text that names this process in each line.
  std::string Process;
};

/// Sets up logging to standard error. Call once, before the first line.
void start(const Options &options);

/// Sets the level of one category, or of all when the name is "all". Returns
/// false when the name or the level is unknown.
bool setLevel(std::string_view category, std::string_view level);

/// True when a line of that category and level would be written.
bool enabled(Category c, Level l);

/// Writes one line.
void write(Category c, Level l, std::string_view message);

template <class... Args>
void debug(Category c, fmt::format_string<Args...> f, Args &&...args) {
  if (enabled(c, Level::Debug))
    write(c, Level::Debug, fmt::format(f, std::forward<Args>(args)...));
}

template <class... Args>
void info(Category c, fmt::format_string<Args...> f, Args &&...args) {
  if (enabled(c, Level::Info))
    write(c, Level::Info, fmt::format(f, std::forward<Args>(args)...));
}

template <class... Args>
void warn(Category c, fmt::format_string<Args...> f, Args &&...args) {
  if (enabled(c, Level::Warning))
    write(c, Level::Warning, fmt::format(f, std::forward<Args>(args)...));
}

template <class... Args>
void error(Category c, fmt::format_string<Args...> f, Args &&...args) {
  if (enabled(c, Level::Error))
    write(c, Level::Error, fmt::format(f, std::forward<Args>(args)...));
}

} // namespace sardineford::log
