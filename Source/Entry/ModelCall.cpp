#include "Entry/ModelCall.h"

#include "Entry/EntrySettings.h"
#include "Sardineford/Common/Log.h"
#include "Sardineford/Common/Random.h"

namespace sardineford::entry {

using engine::EngineError;
using engine::EngineFailure;
using timeline::EventKind;

namespace {

constexpr int MaxAttempts = 8;
constexpr int MaxReconnects = 2;
constexpr Milliseconds NoEngineRetryDelay{20};
/// A stream with fewer expected tokens remaining is not moved.
constexpr double MinTokensToMove = 8;
/// Factor of the estimated time to first token in the first-token timeout.
constexpr double FirstTokenEstimateFactor = 3;

} // namespace

ModelCall::ModelCall(node::Node &node, engine::EngineClient &engines,
                     PoolTracker &pool, ModelRequest request, TokenSink &sink)
    : Node(node), Engines(engines), Pool(pool), Request(std::move(request)),
      Sink(sink) {}

Milliseconds ModelCall::remainingTime() const {
  Milliseconds remaining = toMilliseconds(Request.Deadline - MonoClock::now());
  return std::max(remaining, Milliseconds(1));
}

void ModelCall::recordEvent(EventKind kind, std::string detail) {
  Node.Recorder.record({.Kind = kind,
                        .Request = Request.Id,
                        .Attempt = AttemptId,
                        .Engine = EngineName,
                        .Detail = std::move(detail)});
}

void ModelCall::onCallerDisconnected() {
  CallerDisconnected = true;
  if (Stream)
    Stream->close();
}

void ModelCall::cancelAttempt() {
  if (AttemptId.empty())
    return;
  // Runs as a separate coroutine, so that the response does not wait for it.
  spawn(Node.Io, "cancel",
        [engines = &Engines, endpoint = EngineAddress,
         id = AttemptId]() -> Awaitable<void> {
          try {
            co_await engines->cancel(endpoint, id);
          } catch (const EngineError &e) {
            log::debug(log::Category::Entry, "cancelling an attempt failed: {}",
                       e.what());
          }
        });
}

bool ModelCall::mayAttempt() {
  MonoTime now = MonoClock::now();
  // A response that the caller has started to receive is always continued; it
  // needs no retry budget.
  bool started = Outcome.Tokens > 0;
  bool isRetry = Attempts > 0;
  if (CallerDisconnected)
    Outcome.Reason = "the caller has disconnected";
  else if (now >= Request.Deadline)
    Outcome.Reason = "the deadline has passed";
  else if (NoEngineSince &&
           now - *NoEngineSince > Node.Options.milliseconds(NoEngineWait))
    Outcome.Reason = "no engine accepts new work";
  else if (Attempts >= MaxAttempts)
    Outcome.Reason = "the maximum number of attempts was reached";
  else if (isRetry && started && !Node.Options.get(ContinueStreams))
    Outcome.Reason = "the stream was interrupted";
  else if (isRetry && !started && !NoEngineSince && !Pool.Retries.withdraw())
    Outcome.Reason = "the retry budget of the pool is exhausted";
  else
    return true;
  return false;
}

Awaitable<ModelOutcome> ModelCall::run() {
  AttemptResult result = AttemptResult::RetryElsewhere;
  if (Request.Resume)
    result = co_await resumeForCaller();
  while (result == AttemptResult::RetryElsewhere && mayAttempt())
    result = co_await attempt();
  Outcome.Complete = result == AttemptResult::Complete;
  if (!Outcome.Complete)
    cancelAttempt();
  co_return Outcome;
}

Milliseconds ModelCall::firstTokenTimeout(Seconds estimate) const {
  Milliseconds timeout = Node.Options.milliseconds(FirstTokenTimeout) +
                         toMilliseconds(estimate * FirstTokenEstimateFactor);
  return std::min(timeout, remainingTime());
}

engine::Attempt ModelCall::makeAttempt() const {
  engine::Attempt a;
  a.RequestId = Request.Id;
  a.Id = AttemptId;
  a.Model = Request.Completion.Model;
  a.Prompt = Request.Completion.Prompt;
  a.MaxTokens = Request.Completion.MaxTokens;
  a.Delivered = Outcome.Tokens;
  a.Priority = Request.Priority;
  return a;
}

/// Returns the engines that failed this request. If no other engine accepts
/// work, the list is cleared and all engines may be used again.
std::vector<std::string> ModelCall::excludedEngines() {
  routing::PoolView v = Pool.view(FailedEngines);
  for (const routing::EngineView &it : v.Engines)
    if (routing::acceptsWork(it))
      return FailedEngines;
  FailedEngines.clear();
  return FailedEngines;
}

void ModelCall::recordFailure(const std::string &engineName,
                              const EngineError &e) {
  FailedEngines.push_back(engineName);
  if (e.Failure == EngineFailure::Leaving)
    Pool.markEngineLeaving(engineName);
  else
    Pool.recordEngineFailure(engineName);
  if (e.Failure == EngineFailure::MayHaveExecuted)
    Outcome.Run = Executed::Yes;
  Outcome.Reason = e.what();
}

routing::EngineView
ModelCall::chooseDecodeEngine(const routing::EngineView &planned) {
  routing::PoolView view = Pool.view(FailedEngines);
  for (const routing::EngineView &it : view.Engines)
    if (it.Name == planned.Name && routing::acceptsWork(it))
      return it;
  std::optional<routing::Route> route =
      routing::chooseRoute(view, Request.Shape, randomGenerator());
  if (!route)
    throw EngineError(EngineFailure::NotExecuted, "no engine accepts new work");
  return view.Engines[route->Decode];
}

Awaitable<ModelCall::AttemptResult> ModelCall::attempt() {
  routing::PoolView view = Pool.view(excludedEngines());
  routing::RequestShape shape = Request.Shape;
  shape.PromptTokens += Outcome.Tokens;
  std::optional<routing::Route> route =
      routing::chooseRoute(view, shape, randomGenerator());
  AttemptId = makeId();
  if (!route) {
    NoEngineSince = NoEngineSince.value_or(MonoClock::now());
    co_await sleepFor(NoEngineRetryDelay);
    co_return AttemptResult::RetryElsewhere;
  }
  NoEngineSince.reset();
  ++Attempts;
  routing::EngineView decode = view.Engines[route->Decode];
  const routing::EngineView &prefillEngine = view.Engines[route->Prefill];
  uint64_t uncachedTokens = shape.PromptTokens - route->CachedTokens;
  engine::Attempt a = makeAttempt();
  std::string contactedEngine = prefillEngine.Name;
  // Registered before anything is sent, so that a drain of the engine waits
  // for this attempt.
  CurrentAttempt = Pool.beginAttempt(
      decode.Name, route->hasSeparatePrefill() ? 0 : uncachedTokens);
  try {
    if (route->hasSeparatePrefill()) {
      CurrentAttempt->Pending = true;
      std::shared_ptr<LocalAttempt> prefillAttempt =
          Pool.beginAttempt(prefillEngine.Name, uncachedTokens);
      a.Id += "-p";
      a.KvSource = co_await Engines.prefill(
          prefillEngine.Address, a, firstTokenTimeout(route->TimeToFirstToken));
      a.Id = AttemptId;
      decode = chooseDecodeEngine(decode);
      CurrentAttempt = Pool.beginAttempt(decode.Name, 0);
    }
    contactedEngine = decode.Name;
    EngineName = decode.Name;
    EngineAddress = decode.Address;
    recordEvent(EventKind::AttemptStarted, prefillEngine.Name);
    Milliseconds timeout =
        std::min(Node.Options.milliseconds(HeadTimeout), remainingTime());
    Stream = co_await Engines.generate(decode.Address, a, timeout);
  } catch (const EngineError &e) {
    recordFailure(contactedEngine, e);
    recordEvent(EventKind::AttemptEnded, e.what());
    CurrentAttempt.reset();
    co_return AttemptResult::RetryElsewhere;
  }
  Sink.attemptStarted(EngineAddress, AttemptId);
  co_return co_await readStream(route->TimeToFirstToken);
}

/// Resumes the stream of a caller whose entry process died. The caller names
/// the engine and the attempt. If the engine no longer has the stream, the
/// response is continued at another engine.
Awaitable<ModelCall::AttemptResult> ModelCall::resumeForCaller() {
  const ResumePoint &p = *Request.Resume;
  Outcome.Tokens = p.Delivered;
  Outcome.Run = Executed::Yes;
  AttemptId = p.Attempt;
  EngineAddress = p.Engine;
  Milliseconds timeout =
      std::min(Node.Options.milliseconds(HeadTimeout), remainingTime());
  try {
    Stream = co_await Engines.resume(p.Engine, p.Attempt, p.Delivered, timeout);
  } catch (const EngineError &e) {
    log::debug(log::Category::Entry,
               "resuming the stream of a caller failed: {}", e.what());
    co_return AttemptResult::RetryElsewhere;
  }
  Sink.attemptStarted(EngineAddress, AttemptId);
  co_return co_await readStream(Seconds(0));
}

Awaitable<ModelCall::AttemptResult> ModelCall::readStream(Seconds estimate) {
  AttemptResult result = co_await readUntilEnd(estimate);
  Stream.reset();
  CurrentAttempt.reset();
  recordEvent(EventKind::AttemptEnded,
              result == AttemptResult::Complete ? "complete" : Outcome.Reason);
  if (result == AttemptResult::RetryElsewhere)
    cancelAttempt();
  co_return result;
}

Awaitable<ModelCall::AttemptResult> ModelCall::readUntilEnd(Seconds estimate) {
  uint64_t tokensAtStart = Outcome.Tokens;
  int reconnects = 0;
  for (;;) {
    bool isFirst = Outcome.Tokens == tokensAtStart;
    Milliseconds readTimeout =
        isFirst ? firstTokenTimeout(estimate)
                : Node.Options.milliseconds(BetweenTokensTimeout);
    std::optional<EngineFailure> failure;
    engine::TokenBatch batch;
    try {
      bool shouldMove = !isFirst && Pool.isDrainingOrLeaving(EngineName) &&
                        MonoClock::now() >= NextMoveTime;
      if (shouldMove)
        co_await moveStream();
      batch = co_await Stream->read(std::min(readTimeout, remainingTime()));
    } catch (const EngineError &e) {
      failure = e.Failure;
      Outcome.Reason = e.what();
    }
    Outcome.Run = Executed::Yes;
    if (CallerDisconnected)
      co_return AttemptResult::Fail;
    if (MonoClock::now() >= Request.Deadline) {
      Outcome.Reason = "the deadline has passed";
      co_return AttemptResult::Fail;
    }
    if (failure) {
      // A connection can stop delivering while new connections to the engine
      // work. The stream is resumed on a new connection before the failure
      // counts against the engine.
      bool resumed = reconnects++ < MaxReconnects &&
                     Node.Options.get(ContinueStreams) && co_await reconnect();
      if (resumed)
        continue;
      FailedEngines.push_back(EngineName);
      Pool.recordEngineFailure(EngineName);
      co_return AttemptResult::RetryElsewhere;
    }
    if (CurrentAttempt && !batch.Tokens.empty())
      CurrentAttempt->Prefilled = true;
    if (co_await deliverBatch(std::move(batch)))
      co_return AttemptResult::Complete;
  }
}

Awaitable<void> ModelCall::moveStream() {
  NextMoveTime = MonoClock::now() + Node.Options.milliseconds(ViewInterval);
  routing::RequestShape shape = Request.Shape;
  shape.ExpectedOutputTokens -= static_cast<double>(Outcome.Tokens);
  if (shape.ExpectedOutputTokens < MinTokensToMove)
    co_return;
  std::vector<std::string> excluded = {EngineName};
  routing::PoolView view = Pool.view(excluded);
  std::optional<routing::Route> route =
      routing::chooseRoute(view, shape, randomGenerator());
  if (!route)
    co_return;
  routing::EngineView target = view.Engines[route->Decode];
  Milliseconds timeout =
      std::min(Node.Options.milliseconds(HeadTimeout), remainingTime());
  std::shared_ptr<LocalAttempt> targetAttempt =
      Pool.beginAttempt(target.Name, 0);
  std::optional<engine::KvHandle> cache;
  try {
    cache = co_await Engines.exportStream(EngineAddress, AttemptId, timeout);
  } catch (const EngineError &e) {
    log::debug(log::Category::Entry, "exporting a stream failed: {}", e.what());
  }
  // Without an export the attempt has ended at the engine; its last tokens
  // arrive on the open stream.
  if (!cache)
    co_return;
  recordEvent(EventKind::AttemptEnded, "moved");
  Stream->close();
  AttemptId = makeId();
  engine::Attempt a = makeAttempt();
  a.KvSource = cache;
  EngineName = target.Name;
  EngineAddress = target.Address;
  CurrentAttempt = targetAttempt;
  recordEvent(EventKind::AttemptStarted, "moved");
  Stream = co_await Engines.generate(target.Address, std::move(a), timeout);
  Sink.attemptStarted(EngineAddress, AttemptId);
}

Awaitable<bool> ModelCall::reconnect() {
  try {
    Milliseconds timeout =
        std::min(Node.Options.milliseconds(HeadTimeout), remainingTime());
    Stream = co_await Engines.resume(EngineAddress, AttemptId, Outcome.Tokens,
                                     timeout);
    co_return true;
  } catch (const EngineError &e) {
    Outcome.Reason = e.what();
    co_return false;
  }
}

/// Delivers the tokens that follow the last delivered one and drops
/// duplicates. Returns true at the end of the response.
Awaitable<bool> ModelCall::deliverBatch(engine::TokenBatch batch) {
  std::vector<engine::Token> newTokens;
  for (engine::Token &it : batch.Tokens) {
    if (it.Index != Outcome.Tokens)
      continue;
    ++Outcome.Tokens;
    newTokens.push_back(std::move(it));
  }
  if (!newTokens.empty())
    co_await Sink.deliver(std::move(newTokens));
  if (!batch.TotalTokens || Outcome.Tokens < *batch.TotalTokens)
    co_return false;
  Pool.recordEngineSuccess(EngineName);
  co_return true;
}

} // namespace sardineford::entry
