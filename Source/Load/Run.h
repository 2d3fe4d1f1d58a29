#pragma once

#include "Load/Caller.h"
#include "Load/Scenario.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace sardineford::load {

struct RunOptions {
  std::vector<http::Endpoint> Entries;
  uint64_t Seed = 1;
  /// Tells whether a whole answer is right; empty to believe it.
  std::function<bool(const CompletionCall &, const std::string &text)> IsRight;
};

/// What became of one request.
struct RequestRecord {
  size_t Kind = 0;
  Milliseconds Planned{0};
  CallOutcome Outcome = CallOutcome::Failed;
  bool IsRight = true;
  bool InTime = false;
  /// Refused at least once before its last try.
  int Tries = 0;
  Milliseconds FirstToken{0};
  Milliseconds Whole{0};
  Milliseconds RefusedAfter{0};
  double MeanBetweenTokensMs = 0;
  uint64_t Tokens = 0;
  std::string Why;
};

/// Runs a scenario as an open loop: each request is sent at its planned time,
/// whatever became of those before. Latencies count from the planned time.
std::vector<RequestRecord> runScenario(const Scenario &s,
                                       const RunOptions &options);

/// Figures of one kind, or of all.
struct Summary {
  uint64_t Requests = 0;
  /// Whole, right and in time.
  uint64_t Good = 0;
  uint64_t Refused = 0;
  uint64_t Late = 0;
  uint64_t Failed = 0;
  uint64_t Wrong = 0;
  uint64_t Tokens = 0;
  double FirstTokenMs50 = 0;
  double FirstTokenMs95 = 0;
  double BetweenTokensMs95 = 0;
  double RefusalMs99 = 0;

  double goodShare() const {
    return Requests == 0
               ? 0
               : static_cast<double>(Good) / static_cast<double>(Requests);
  }
};

Summary summarize(const std::vector<RequestRecord> &records);
/// The same for each kind, by its name.
std::map<std::string, Summary>
summarizeKinds(const Scenario &s, const std::vector<RequestRecord> &records);

/// The run as JSON text and as an SVG picture of good, refused and failed
/// requests over time.
std::string toJson(const Scenario &s,
                   const std::vector<RequestRecord> &records);
std::string toSvg(const Scenario &s, const std::vector<RequestRecord> &records);

/// The prompt of a planned request.
std::string makePrompt(const RequestKind &kind, const PlannedRequest &r,
                       uint64_t number);

} // namespace sardineford::load
