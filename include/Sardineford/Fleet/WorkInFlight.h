#pragma once

#include <array>
#include <cstddef>
#include <string_view>

namespace sardineford::fleet {

/// Order of prompts at an engine.
enum class WorkPriority {
  /// In time only if it begins at once: long prompts, mostly.
  First,
  /// Expected to be in time.
  Urgent,
  /// Late already; takes what the urgent ones leave.
  Background,
};

inline constexpr size_t NumWorkPriorities = 3;

constexpr std::string_view toString(WorkPriority r) {
  constexpr std::array<std::string_view, NumWorkPriorities> Names = {
      "first", "urgent", "background"};
  return Names[static_cast<size_t>(r)];
}

/// Work that is in flight at a backend server.
struct WorkInFlight {
  /// Prompt tokens that are sent and not prefilled, by rank.
  std::array<double, NumWorkPriorities> Tokens{};
  unsigned Requests = 0;

  double &tokens(WorkPriority r) { return Tokens[static_cast<size_t>(r)]; }

  /// Prompt tokens that go before new work of a rank.
  double tokensAhead(WorkPriority r) const {
    double n = 0;
    for (size_t i = 0; i <= static_cast<size_t>(r); ++i)
      n += Tokens[i];
    return n;
  }

  WorkInFlight &operator+=(const WorkInFlight &o) {
    for (size_t i = 0; i < NumWorkPriorities; ++i)
      Tokens[i] += o.Tokens[i];
    Requests += o.Requests;
    return *this;
  }

  /// Exact for figures that were added before: tokens are whole numbers.
  WorkInFlight &operator-=(const WorkInFlight &o) {
    for (size_t i = 0; i < NumWorkPriorities; ++i)
      Tokens[i] -= o.Tokens[i];
    Requests -= o.Requests;
    return *this;
  }

  bool operator==(const WorkInFlight &) const = default;
};

} // namespace sardineford::fleet
