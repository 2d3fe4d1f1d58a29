#pragma once

#include <spdlog/fmt/fmt.h>

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>

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
  Gateway,
  Fleet,
  Peers,
};

enum class Level { Trace, Debug, Info, Warning, Error, Off };

struct Options {
  bool JsonLines = false;
  Level DefaultLevel = Level::Info;
  /// Process name in each line.
  std::string Process;
  /// Writes to standard output without blocking; lines that exceed the pipe or
  /// BytesPerSecond are dropped and counted.
  bool BoundedStdout = false;
  /// Rate limit of the bounded standard output, averaged over 4 s.
  uint64_t BytesPerSecond = uint64_t{256} * 1024;
};

/// Configures the logger. Must be called once, before the first line.
void start(const Options &options);

/// Sets the level of one category, or of all categories for "all". Returns
/// false if the category or the level is unknown.
bool setLevel(std::string_view category, std::string_view level);

/// Sets the rate limit of the bounded standard output.
void setBytesPerSecond(uint64_t n);

/// Returns true if lines of the category and level are written.
bool enabled(Category c, Level l);

/// Writes one line, as text or as a JSON event named "message".
void write(Category c, Level l, std::string_view message);

/// Returns a JSON log line with the total of dropped lines.
std::string formatDroppedLines(uint64_t dropped);

/// Returns the number of lines that the bounded standard output dropped.
uint64_t droppedLines();

/// One named value of a structured log line.
struct Field {
  using Value = std::variant<bool, int64_t, uint64_t, double, std::string_view>;

  template <class T>
  Field(std::string_view name, const T &value)
      : Name(name), Data(convert(value)) {}

  std::string_view Name;
  Value Data;

private:
  template <class T> static Value convert(const T &value) {
    if constexpr (std::is_same_v<T, bool>)
      return value;
    else if constexpr (std::is_floating_point_v<T>)
      return static_cast<double>(value);
    else if constexpr (std::is_integral_v<T> && std::is_signed_v<T>)
      return static_cast<int64_t>(value);
    else if constexpr (std::is_integral_v<T>)
      return static_cast<uint64_t>(value);
    else
      return std::string_view(value);
  }
};

/// Writes one line of JSON with the event's name and its fields.
void event(Category c, Level l, std::string_view name,
           std::initializer_list<Field> fields);

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
