#pragma once

#include <array>
#include <cstddef>
#include <string_view>

namespace sardineford::fleet {

/// Priority of a prompt in the queue of an engine, highest first.
enum class WorkPriority {
  /// Meets its objective only if prefill starts at once; mostly long prompts.
  First,
  /// Expected to meet its objective.
  Urgent,
  /// Already late; uses the capacity that higher priorities leave free.
  Background,
};

inline constexpr size_t NumWorkPriorities = 3;

constexpr std::string_view toString(WorkPriority p) {
  constexpr std::array<std::string_view, NumWorkPriorities> Names = {
      "first", "urgent", "background"};
  return Names[static_cast<size_t>(p)];
}

/// Work in flight at a backend server.
struct WorkInFlight {
  /// Prompt tokens that are sent but not prefilled yet, by priority.
  std::array<double, NumWorkPriorities> Tokens{};
  unsigned Requests = 0;

  double &tokens(WorkPriority p) { return Tokens[static_cast<size_t>(p)]; }

  /// Returns the prompt tokens that are prefilled before new work of this
  /// priority.
  double tokensAhead(WorkPriority p) const {
    double n = 0;
    for (size_t i = 0; i <= static_cast<size_t>(p); ++i)
      n += Tokens[i];
    return n;
  }

  WorkInFlight &operator+=(const WorkInFlight &o) {
    for (size_t i = 0; i < NumWorkPriorities; ++i)
      Tokens[i] += o.Tokens[i];
    Requests += o.Requests;
    return *this;
  }

  /// Cancels an earlier addition exactly, since token counts are whole
  /// numbers.
  WorkInFlight &operator-=(const WorkInFlight &o) {
    for (size_t i = 0; i < NumWorkPriorities; ++i)
      Tokens[i] -= o.Tokens[i];
    Requests -= o.Requests;
    return *this;
  }

  bool operator==(const WorkInFlight &) const = default;
};

} // namespace sardineford::fleet
