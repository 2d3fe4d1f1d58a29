#pragma once

namespace sardineford::fleet {

/// Order of prompts at an engine.
enum class WorkRank {
  /// Expected to be in time.
  Urgent,
  /// Late already; takes what the urgent ones leave.
  Background,
};

/// Work that is in flight at a backend server.
struct WorkInFlight {
  /// Prompt tokens that are sent and not prefilled, by rank.
  double UrgentTokens = 0;
  double BackgroundTokens = 0;
  unsigned Requests = 0;

  double &tokens(WorkRank r) {
    return r == WorkRank::Urgent ? UrgentTokens : BackgroundTokens;
  }

  WorkInFlight &operator+=(const WorkInFlight &o) {
    UrgentTokens += o.UrgentTokens;
    BackgroundTokens += o.BackgroundTokens;
    Requests += o.Requests;
    return *this;
  }
};

} // namespace sardineford::fleet
