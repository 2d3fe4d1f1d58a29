#pragma once

#include "Sardineford/Http/Client.h"

#include <string>
#include <vector>

namespace sardineford::load {

/// A streamed completion request.
struct CompletionCall {
  std::string RequestId;
  std::string Workspace;
  std::string Model;
  std::string Prompt;
  uint64_t MaxTokens = 64;
  Milliseconds Deadline{10'000};
  /// Set to resume a stream whose connection was lost.
  std::string ResumeToken;
  /// Number of tokens received before the connection was lost.
  uint64_t Delivered = 0;
};

enum class CallOutcome {
  /// The complete response arrived.
  Complete,
  /// Rejected without being executed.
  Rejected,
  /// The response ended with an error, or no response began.
  Failed,
  /// The connection was lost; the stream can be resumed at another entry.
  Disconnected,
};

/// The result of one attempt, as observed by the caller.
struct CallResult {
  CallOutcome Outcome = CallOutcome::Failed;
  unsigned Status = 0;
  std::string Text;
  uint64_t Tokens = 0;
  std::string ResumeToken;
  Milliseconds RetryAfter{0};
  /// "no", "yes" or "unknown": whether the request was executed.
  std::string Run;
  std::string Detail;
  /// Arrival time of each piece of the response.
  std::vector<MonoTime> Arrivals;
};

/// Sends one request and reads its response stream to the end.
Awaitable<CallResult> callCompletion(http::Client &client, http::Endpoint to,
                                     CompletionCall call);

/// Parses a problem document into the result.
void readProblem(const http::Response &r, const std::string &body,
                 CallResult &out);

} // namespace sardineford::load
