#pragma once

#include "Sardineford/Http/Client.h"

#include <string>
#include <vector>

namespace sardineford::load {

/// A streamed completion that a caller asks for.
struct CompletionCall {
  std::string RequestId;
  std::string Workspace;
  std::string Model;
  std::string Prompt;
  uint64_t MaxTokens = 64;
  Milliseconds Deadline{10'000};
  /// Set to take up a broken stream.
  std::string ResumeToken;
  uint64_t Delivered = 0;
};

enum class CallOutcome {
  /// The whole answer came.
  Whole,
  /// Refused at once; not run.
  Refused,
  /// The answer began and ended with an error, or never began.
  Failed,
  /// The connection broke; the stream can be taken up elsewhere.
  Broken,
};

/// What a caller saw.
struct CallResult {
  CallOutcome What = CallOutcome::Failed;
  unsigned Status = 0;
  std::string Text;
  uint64_t Tokens = 0;
  std::string ResumeToken;
  Milliseconds RetryAfter{0};
  /// "no", "yes" or "unknown", as the answer says.
  std::string Run;
  std::string Why;
  /// Arrival of each piece of the answer.
  std::vector<MonoTime> Arrivals;
};

/// Sends one request and reads its stream to the end.
Awaitable<CallResult> callCompletion(http::Client &client, http::Endpoint to,
                                     CompletionCall call);

/// Reads a problem document into a result.
void readProblem(const http::Response &r, const std::string &body,
                 CallResult &out);

} // namespace sardineford::load
