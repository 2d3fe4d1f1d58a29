#pragma once

#include <array>
#include <cstddef>
#include <string_view>

namespace sardineford::fleet {

/// Order of prompts at an engine.
enum class WorkRank {
  /// In time only if it begins at once: long prompts, mostly.
  First,
  /// Expected to be in time.
  Urgent,
  /// Late already; takes what the urgent ones leave.
  Background,
};

inline constexpr size_t WorkRanks = 3;

constexpr std::string_view toString(WorkRank r) {
  constexpr std::array<std::string_view, WorkRanks> Names = {"first", "urgent",
                                                             "background"};
  return Names[static_cast<size_t>(r)];
}

/// Work that is in flight at a backend server.
struct WorkInFlight {
  /// Prompt tokens that are sent and not prefilled, by rank.
  std::array<double, WorkRanks> Tokens{};
  unsigned Requests = 0;

  double &tokens(WorkRank r) { return Tokens[static_cast<size_t>(r)]; }

  /// Prompt tokens that go before new work of a rank.
  double tokensAhead(WorkRank r) const {
    double n = 0;
    for (size_t i = 0; i <= static_cast<size_t>(r); ++i)
      n += Tokens[i];
    return n;
  }

  WorkInFlight &operator+=(const WorkInFlight &o) {
    for (size_t i = 0; i < WorkRanks; ++i)
      Tokens[i] += o.Tokens[i];
    Requests += o.Requests;
    return *this;
  }

  /// Exact for figures that were added before: tokens are whole numbers.
  WorkInFlight &operator-=(const WorkInFlight &o) {
    for (size_t i = 0; i < WorkRanks; ++i)
      Tokens[i] -= o.Tokens[i];
    Requests -= o.Requests;
    return *this;
  }

  bool operator==(const WorkInFlight &) const = default;
};

} // namespace sardineford::fleet
