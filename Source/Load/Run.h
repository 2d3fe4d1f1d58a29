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
  /// Returns whether a complete response is correct; if empty, all responses
  /// count as correct.
  std::function<bool(const CompletionCall &, const std::string &text)>
      IsCorrect;
};

/// The result of one request, over all its attempts.
struct RequestRecord {
  size_t Kind = 0;
  /// Planned time of sending, from the start of the scenario.
  Milliseconds Planned{0};
  CallOutcome Outcome = CallOutcome::Failed;
  bool IsCorrect = true;
  bool MetDeadline = false;
  /// The first attempt and the attempts to resume the stream.
  int Attempts = 0;
  Milliseconds TimeToFirstToken{0};
  Milliseconds TimeToCompletion{0};
  /// Time from the attempt to its rejection.
  Milliseconds RejectionTime{0};
  double MeanBetweenTokensMs = 0;
  uint64_t Tokens = 0;
  std::string Detail;
};

/// Runs a scenario as an open loop: each request is sent at its planned time,
/// whether or not earlier requests have completed. Latencies are measured from
/// the planned time.
std::vector<RequestRecord> runScenario(const Scenario &s,
                                       const RunOptions &options);

/// Statistics of one kind of request, or of all requests.
struct Summary {
  uint64_t Requests = 0;
  /// Complete, correct and within the deadline.
  uint64_t Good = 0;
  uint64_t Rejected = 0;
  /// Complete after the deadline.
  uint64_t Late = 0;
  uint64_t Failed = 0;
  uint64_t Incorrect = 0;
  uint64_t Tokens = 0;
  double FirstTokenMs50 = 0;
  double FirstTokenMs95 = 0;
  double BetweenTokensMs95 = 0;
  double RejectionMs99 = 0;

  double goodRatio() const {
    return Requests == 0
               ? 0
               : static_cast<double>(Good) / static_cast<double>(Requests);
  }
};

Summary summarize(const std::vector<RequestRecord> &records);
/// Returns the statistics of each kind, by its name.
std::map<std::string, Summary>
summarizeKinds(const Scenario &s, const std::vector<RequestRecord> &records);

/// Returns the results as JSON text, and as an SVG chart of good, rejected and
/// failed requests over time.
std::string toJson(const Scenario &s,
                   const std::vector<RequestRecord> &records);
std::string toSvg(const Scenario &s, const std::vector<RequestRecord> &records);

/// Returns the prompt of a planned request; the number makes it unique.
std::string makePrompt(const RequestKind &kind, const PlannedRequest &r,
                       uint64_t number);

} // namespace sardineford::load
