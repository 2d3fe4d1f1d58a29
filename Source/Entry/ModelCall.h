#pragma once

#include "Entry/CompletionApi.h"
#include "Entry/PoolTracker.h"
#include "Sardineford/Engine/EngineClient.h"
#include "Sardineford/Routing/Route.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace sardineford::entry {

/// Receives the tokens of a response in order, each exactly once.
class TokenSink {
public:
  virtual ~TokenSink() = default;

  /// Called before the first token of each attempt.
  virtual void attemptStarted(const http::Endpoint &engine,
                              const std::string &attempt) = 0;
  /// Throws when the caller has disconnected or reads too slowly.
  virtual Awaitable<void> deliver(std::vector<engine::Token> tokens) = 0;
};

/// An admitted request to a model.
struct ModelRequest {
  std::string Id;
  CompletionRequest Completion;
  int Priority = 0;
  MonoTime Deadline{};
  routing::RequestShape Shape;
  std::optional<ResumePoint> Resume;
};

/// Result of a request to a model.
struct ModelOutcome {
  bool Complete = false;
  uint64_t Tokens = 0;
  /// Whether an engine executed the request.
  Executed Run = Executed::No;
  /// Reason why the response is not complete.
  std::string Reason;
};

/// Executes one request to a model: makes attempts at engines, resumes
/// interrupted streams and continues at another engine after the last
/// delivered token.
class ModelCall {
public:
  ModelCall(node::Node &node, engine::EngineClient &engines, PoolTracker &pool,
            ModelRequest request, TokenSink &sink);

  Awaitable<ModelOutcome> run();
  /// Closes the stream after the caller has disconnected, so that run() ends
  /// and cancels the attempt at the engine.
  void onCallerDisconnected();

private:
  enum class AttemptResult { Complete, RetryElsewhere, Fail };

  Awaitable<AttemptResult> attempt();
  /// Returns the engine for the decode phase after a separate prefill: the
  /// planned engine, or another one if that engine no longer accepts new work.
  routing::EngineView chooseDecodeEngine(const routing::EngineView &planned);
  Awaitable<AttemptResult> resumeForCaller();
  Awaitable<AttemptResult> readStream(Seconds estimate);
  Awaitable<AttemptResult> readUntilEnd(Seconds estimate);
  Awaitable<bool> reconnect();
  /// Moves the stream to another engine, with its key-value cache. Does nothing
  /// if no other engine accepts it or the response is about to end. Throws
  /// EngineError when the new engine fails to continue the stream.
  Awaitable<void> moveStream();
  Awaitable<bool> deliverBatch(engine::TokenBatch batch);
  engine::Attempt makeAttempt() const;
  std::vector<std::string> excludedEngines();
  /// Returns whether another attempt may be made; if not, sets Outcome.Reason.
  bool mayAttempt();
  /// Returns the time limit for the first token of an attempt.
  Milliseconds firstTokenTimeout(Seconds estimate) const;
  void recordFailure(const std::string &engineName,
                     const engine::EngineError &e);
  void recordEvent(timeline::EventKind kind, std::string detail = "");
  void cancelAttempt();
  Milliseconds remainingTime() const;

  node::Node &Node;
  engine::EngineClient &Engines;
  PoolTracker &Pool;
  ModelRequest Request;
  TokenSink &Sink;
  std::unique_ptr<engine::TokenStream> Stream;
  std::shared_ptr<LocalAttempt> CurrentAttempt;
  std::string AttemptId;
  std::string EngineName;
  http::Endpoint EngineAddress;
  std::vector<std::string> FailedEngines;
  ModelOutcome Outcome;
  int Attempts = 0;
  bool CallerDisconnected = false;
  /// Earliest time of the next move to another engine.
  MonoTime NextMoveTime{};
  /// Time since which no engine accepts new work.
  std::optional<MonoTime> NoEngineSince;
};

} // namespace sardineford::entry
