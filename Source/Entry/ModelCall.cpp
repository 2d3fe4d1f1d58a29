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
constexpr Milliseconds PauseBetweenAttempts{20};
/// An answer that is nearer to its end is not moved.
constexpr double MinTokensToMove = 8;
/// An answer may take this much longer than estimated before its engine is
/// suspected.
constexpr double EstimateSlack = 3;

} // namespace

ModelCall::ModelCall(node::Node &node, engine::EngineClient &engines,
                     PoolTracker &pool, ModelRequest request, TokenSink &sink)
    : Node(node), Engines(engines), Pool(pool), Request(std::move(request)),
      Sink(sink) {}

Milliseconds ModelCall::timeLeft() const {
  Milliseconds left = toMilliseconds(Request.Deadline - MonoClock::now());
  return std::max(left, Milliseconds(1));
}

void ModelCall::record(EventKind kind, std::string detail) {
  Node.Recorder.record({.Kind = kind,
                        .Request = Request.Id,
                        .Attempt = AttemptId,
                        .Engine = EngineName,
                        .Detail = std::move(detail)});
}

void ModelCall::callerGone() {
  CallerLeft = true;
  if (Stream)
    Stream->close();
}

void ModelCall::cancelAttempt() {
  if (AttemptId.empty())
    return;
  // A coroutine of its own: the caller's answer does not wait for it.
  spawn(Node.Io, "cancel",
        [engines = &Engines, at = EngineAddress,
         id = AttemptId]() -> Awaitable<void> {
          try {
            co_await engines->cancel(at, id);
          } catch (const EngineError &e) {
            log::debug(log::Category::Entry, "cancel: {}", e.what());
          }
        });
}

bool ModelCall::mayTry() {
  MonoTime now = MonoClock::now();
  // What the caller has begun to read is always gone on with.
  bool started = Outcome.Tokens > 0;
  bool isRetry = Attempts > 0;
  if (CallerLeft || now >= Request.Deadline)
    Outcome.Why = "the deadline has passed";
  else if (NoEngineSince &&
           now - *NoEngineSince > Node.Options.milliseconds(NoEngineWait))
    Outcome.Why = "no engine takes new work";
  else if (Attempts >= MaxAttempts)
    Outcome.Why = "no engine gave an answer";
  else if (isRetry && started && !Node.Options.get(ContinueStreams))
    Outcome.Why = "the stream broke";
  else if (isRetry && !started && !NoEngineSince && !Pool.Retries.withdraw())
    Outcome.Why = "the retry budget of the pool is used up";
  else
    return true;
  return false;
}

Awaitable<ModelOutcome> ModelCall::run() {
  StepResult result = StepResult::TryElsewhere;
  if (Request.Resume)
    result = co_await resumeForCaller();
  while (result == StepResult::TryElsewhere && mayTry())
    result = co_await attempt();
  Outcome.Complete = result == StepResult::Complete;
  if (!Outcome.Complete)
    cancelAttempt();
  co_return Outcome;
}

Milliseconds ModelCall::patience(Seconds estimate) const {
  Milliseconds most = Node.Options.milliseconds(FirstTokenTimeout) +
                      toMilliseconds(estimate * EstimateSlack);
  return std::min(most, timeLeft());
}

engine::Attempt ModelCall::makeAttempt() const {
  engine::Attempt a;
  a.RequestId = Request.Id;
  a.Id = AttemptId;
  a.Model = Request.What.Model;
  a.Prompt = Request.What.Prompt;
  a.MaxTokens = Request.What.MaxTokens;
  a.Delivered = Outcome.Tokens;
  a.Priority = Request.Priority;
  return a;
}

/// Engines that failed this request. When all have, each may be tried again.
std::vector<std::string> ModelCall::shunned() {
  routing::PoolView v = Pool.view(Tried);
  for (const routing::EngineView &it : v.Engines)
    if (routing::acceptsWork(it))
      return Tried;
  Tried.clear();
  return Tried;
}

void ModelCall::noteFailure(const std::string &engineName,
                            const EngineError &e) {
  Tried.push_back(engineName);
  if (e.Failure == EngineFailure::Leaving)
    Pool.engineIsLeaving(engineName);
  else
    Pool.engineFailed(engineName);
  if (e.Failure == EngineFailure::MayHaveExecuted)
    Outcome.Run = RunState::Yes;
  Outcome.Why = e.what();
}

routing::EngineView
ModelCall::decodeEngine(const routing::EngineView &planned) {
  routing::PoolView view = Pool.view(Tried);
  for (const routing::EngineView &it : view.Engines)
    if (it.Name == planned.Name && routing::acceptsWork(it))
      return it;
  std::optional<routing::Route> route =
      routing::chooseRoute(view, Request.Shape, randomGenerator());
  if (!route)
    throw EngineError(EngineFailure::NotExecuted, "no engine takes new work");
  return view.Engines[route->Decode];
}

Awaitable<ModelCall::StepResult> ModelCall::attempt() {
  routing::PoolView view = Pool.view(shunned());
  routing::RequestShape shape = Request.Shape;
  shape.PromptTokens += Outcome.Tokens;
  std::optional<routing::Route> route =
      routing::chooseRoute(view, shape, randomGenerator());
  AttemptId = makeId();
  if (!route) {
    NoEngineSince = NoEngineSince.value_or(MonoClock::now());
    co_await sleepFor(PauseBetweenAttempts);
    co_return StepResult::TryElsewhere;
  }
  NoEngineSince.reset();
  ++Attempts;
  routing::EngineView decode = view.Engines[route->Decode];
  const routing::EngineView &first = view.Engines[route->Prefill];
  uint64_t missing = shape.PromptTokens - route->CachedTokens;
  engine::Attempt a = makeAttempt();
  std::string failing = first.Name;
  // Noted before anything is sent, so that no drain overlooks it.
  Own = Pool.begin(decode.Name, route->hasSeparatePrefill() ? 0 : missing);
  try {
    if (route->hasSeparatePrefill()) {
      Own->Pending = true;
      std::shared_ptr<OwnAttempt> work = Pool.begin(first.Name, missing);
      a.Id += "-p";
      a.KvSource = co_await Engines.prefill(first.Address, a,
                                            patience(route->TimeToFirstToken));
      a.Id = AttemptId;
      decode = decodeEngine(decode);
      Own = Pool.begin(decode.Name, 0);
    }
    failing = decode.Name;
    EngineName = decode.Name;
    EngineAddress = decode.Address;
    record(EventKind::AttemptStarted, first.Name);
    Milliseconds timeout =
        std::min(Node.Options.milliseconds(HeadTimeout), timeLeft());
    Stream = co_await Engines.generate(decode.Address, a, timeout);
  } catch (const EngineError &e) {
    noteFailure(failing, e);
    record(EventKind::AttemptEnded, e.what());
    Own.reset();
    co_return StepResult::TryElsewhere;
  }
  Sink.attemptStarted(EngineAddress, AttemptId);
  co_return co_await readStream(route->TimeToFirstToken);
}

/// A caller whose entry process died names the engine's stream. When it is
/// still there it goes on; else the answer is continued elsewhere.
Awaitable<ModelCall::StepResult> ModelCall::resumeForCaller() {
  const ResumePoint &p = *Request.Resume;
  Outcome.Tokens = p.Delivered;
  Outcome.Run = RunState::Yes;
  AttemptId = p.Attempt;
  EngineAddress = p.Engine;
  Milliseconds timeout =
      std::min(Node.Options.milliseconds(HeadTimeout), timeLeft());
  try {
    Stream = co_await Engines.resume(p.Engine, p.Attempt, p.Delivered, timeout);
  } catch (const EngineError &e) {
    log::debug(log::Category::Entry, "resume for a caller: {}", e.what());
    co_return StepResult::TryElsewhere;
  }
  Sink.attemptStarted(EngineAddress, AttemptId);
  co_return co_await readStream(Seconds(0));
}

Awaitable<ModelCall::StepResult> ModelCall::readStream(Seconds estimate) {
  StepResult result = co_await readUntilEnd(estimate);
  Stream.reset();
  Own.reset();
  record(EventKind::AttemptEnded,
         result == StepResult::Complete ? "complete" : Outcome.Why);
  if (result == StepResult::TryElsewhere)
    cancelAttempt();
  co_return result;
}

Awaitable<ModelCall::StepResult> ModelCall::readUntilEnd(Seconds estimate) {
  uint64_t atStart = Outcome.Tokens;
  int reconnects = 0;
  for (;;) {
    bool isFirst = Outcome.Tokens == atStart;
    Milliseconds most = isFirst
                            ? patience(estimate)
                            : Node.Options.milliseconds(BetweenTokensTimeout);
    std::optional<EngineFailure> failure;
    engine::TokenBatch batch;
    try {
      bool shouldMove = !isFirst && Pool.isEmptying(EngineName) &&
                        MonoClock::now() >= NextMove;
      if (shouldMove)
        co_await moveStream();
      batch = co_await Stream->read(std::min(most, timeLeft()));
    } catch (const EngineError &e) {
      failure = e.Failure;
      Outcome.Why = e.what();
    }
    Outcome.Run = RunState::Yes;
    if (CallerLeft)
      co_return StepResult::GiveUp;
    if (MonoClock::now() >= Request.Deadline) {
      Outcome.Why = "the deadline has passed";
      co_return StepResult::GiveUp;
    }
    if (failure) {
      // A connection can go silent for good while new ones work, so the
      // stream is taken up on a new one before the engine is blamed.
      bool resumed = reconnects++ < MaxReconnects &&
                     Node.Options.get(ContinueStreams) && co_await reconnect();
      if (resumed)
        continue;
      Tried.push_back(EngineName);
      Pool.engineFailed(EngineName);
      co_return StepResult::TryElsewhere;
    }
    if (Own && !batch.Tokens.empty())
      Own->Prefilled = true;
    if (co_await takeBatch(std::move(batch)))
      co_return StepResult::Complete;
  }
}

Awaitable<void> ModelCall::moveStream() {
  NextMove = MonoClock::now() + Node.Options.milliseconds(ViewInterval);
  routing::RequestShape shape = Request.Shape;
  shape.ExpectedOutputTokens -= static_cast<double>(Outcome.Tokens);
  if (shape.ExpectedOutputTokens < MinTokensToMove)
    co_return;
  std::vector<std::string> without = {EngineName};
  routing::PoolView view = Pool.view(without);
  std::optional<routing::Route> route =
      routing::chooseRoute(view, shape, randomGenerator());
  if (!route)
    co_return;
  routing::EngineView to = view.Engines[route->Decode];
  Milliseconds timeout =
      std::min(Node.Options.milliseconds(HeadTimeout), timeLeft());
  std::shared_ptr<OwnAttempt> own = Pool.begin(to.Name, 0);
  std::optional<engine::KvHandle> cache;
  try {
    cache = co_await Engines.exportStream(EngineAddress, AttemptId, timeout);
  } catch (const EngineError &e) {
    log::debug(log::Category::Entry, "move: {}", e.what());
  }
  // Not exported: it has ended there, and its last tokens are on the way.
  if (!cache)
    co_return;
  record(EventKind::AttemptEnded, "moved");
  Stream->close();
  AttemptId = makeId();
  engine::Attempt a = makeAttempt();
  a.KvSource = cache;
  EngineName = to.Name;
  EngineAddress = to.Address;
  Own = own;
  record(EventKind::AttemptStarted, "moved");
  Stream = co_await Engines.generate(to.Address, std::move(a), timeout);
  Sink.attemptStarted(EngineAddress, AttemptId);
}

Awaitable<bool> ModelCall::reconnect() {
  try {
    Milliseconds timeout =
        std::min(Node.Options.milliseconds(HeadTimeout), timeLeft());
    Stream = co_await Engines.resume(EngineAddress, AttemptId, Outcome.Tokens,
                                     timeout);
    co_return true;
  } catch (const EngineError &e) {
    Outcome.Why = e.what();
    co_return false;
  }
}

/// Passes on the tokens that follow what was delivered. Returns true at the
/// end of the answer.
Awaitable<bool> ModelCall::takeBatch(engine::TokenBatch batch) {
  std::vector<engine::Token> fresh;
  for (engine::Token &it : batch.Tokens) {
    if (it.Index != Outcome.Tokens)
      continue;
    ++Outcome.Tokens;
    fresh.push_back(std::move(it));
  }
  if (!fresh.empty())
    co_await Sink.deliver(std::move(fresh));
  if (!batch.TotalTokens || Outcome.Tokens < *batch.TotalTokens)
    co_return false;
  Pool.engineSucceeded(EngineName);
  co_return true;
}

} // namespace sardineford::entry
