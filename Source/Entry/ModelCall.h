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

/// Receives the tokens of an answer in order, each exactly once.
class TokenSink {
public:
  virtual ~TokenSink() = default;

  /// Called before the first token of each attempt.
  virtual void attemptStarted(const http::Endpoint &engine,
                              const std::string &attempt) = 0;
  /// Throws when the caller is gone or reads too slowly.
  virtual Awaitable<void> deliver(std::vector<engine::Token> tokens) = 0;
};

/// A request to a model, admitted and routed.
struct ModelRequest {
  std::string Id;
  CompletionRequest What;
  int Priority = 0;
  MonoTime Deadline{};
  routing::RequestShape Shape;
  std::optional<ResumePoint> Resume;
};

/// How a request to a model ended.
struct ModelOutcome {
  bool Complete = false;
  uint64_t Tokens = 0;
  RunState Run = RunState::No;
  /// Why it is not complete.
  std::string Why;
};

/// Brings one answer to its caller: makes attempts at engines, resumes broken
/// streams and goes on at another engine from what was delivered.
class ModelCall {
public:
  ModelCall(node::Node &node, engine::EngineClient &engines, PoolTracker &pool,
            ModelRequest request, TokenSink &sink);

  Awaitable<ModelOutcome> run();
  /// The caller went away: ends the attempt and frees the engine.
  void callerGone();

private:
  enum class StepResult { Complete, TryElsewhere, GiveUp };

  Awaitable<StepResult> attempt();
  /// Engine for the decode phase after a prefill: the planned one, or another
  /// if that one takes no new work any more.
  routing::EngineView decodeEngine(const routing::EngineView &planned);
  Awaitable<StepResult> resumeForCaller();
  Awaitable<StepResult> readStream(Seconds estimate);
  Awaitable<StepResult> readUntilEnd(Seconds estimate);
  Awaitable<bool> reconnect();
  /// Takes the stream to another engine, with its key-value cache. Leaves it
  /// where it is when there is no room elsewhere or it is about to end. Throws
  /// EngineError when the move broke it.
  Awaitable<void> moveStream();
  Awaitable<bool> takeBatch(engine::TokenBatch batch);
  engine::Attempt makeAttempt() const;
  std::vector<std::string> shunned();
  /// Whether another attempt may be made; notes why not.
  bool mayTry();
  /// Time after which an engine that gives no first token is suspected.
  Milliseconds patience(Seconds estimate) const;
  void noteFailure(const std::string &engineName, const engine::EngineError &e);
  void record(timeline::EventKind kind, std::string detail = "");
  void cancelAttempt();
  Milliseconds timeLeft() const;

  node::Node &Node;
  engine::EngineClient &Engines;
  PoolTracker &Pool;
  ModelRequest Request;
  TokenSink &Sink;
  std::unique_ptr<engine::TokenStream> Stream;
  std::shared_ptr<OwnAttempt> Own;
  std::string AttemptId;
  std::string EngineName;
  http::Endpoint EngineAddress;
  std::vector<std::string> Tried;
  ModelOutcome Outcome;
  int Attempts = 0;
  bool CallerLeft = false;
  /// A move that was tried is not tried again for a while.
  MonoTime NextMove{};
  /// Since when no engine has taken new work.
  std::optional<MonoTime> NoEngineSince;
};

} // namespace sardineford::entry
