#include "Entry/OnceCalls.h"

#include "Entry/EntrySettings.h"
#include "Messages/Messages.pb.h"
#include "Sardineford/Common/Log.h"
#include "Sardineford/Common/Random.h"
#include "Sardineford/Store/Write.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace sardineford::entry {

using once::OnceRecord;
using once::RecordState;
using store::Failure;
using store::StoreError;

namespace {

constexpr const char *JoinPath = "/once/join";
constexpr Milliseconds InitialOutcomeRetryDelay{100};
constexpr Milliseconds MaxOutcomeRetryDelay{5'000};
constexpr Milliseconds OutcomeWriteTimeout{10'000};
/// Time that a finished call is kept in memory after its outcome is stored.
constexpr Milliseconds FinishedCallRetention{60'000};
/// The owner stops waiting this long before the caller's deadline.
constexpr Milliseconds JoinMargin{500};

OnceResult
notExecuted(std::string reason,
            OnceResult::PriorCalls prior = OnceResult::PriorCalls::None) {
  OnceResult r;
  r.Outcome = OnceResult::Kind::NotExecuted;
  r.Prior = prior;
  r.Reason = std::move(reason);
  return r;
}

OnceResult outcomeUnknown(std::string reason) {
  OnceResult r;
  r.Outcome = OnceResult::Kind::Unknown;
  r.Reason = std::move(reason);
  return r;
}

OnceResult withResponse(OnceResult::Kind kind, once::StoredResponse response) {
  OnceResult r;
  r.Outcome = kind;
  r.Response = std::move(response);
  return r;
}

OnceResult keyReused() {
  OnceResult r;
  r.Outcome = OnceResult::Kind::KeyReused;
  return r;
}

int64_t wallClockMs() {
  return std::chrono::duration_cast<Milliseconds>(
             WallClock::now().time_since_epoch())
      .count();
}

} // namespace

OnceCalls::OnceCalls(node::Node &node, once::OnceStore &store)
    : Node(node), Store(store) {
  Node.RpcServer.handle(JoinPath, [this](std::string body) {
    return handleJoin(std::move(body));
  });
}

OnceRecord OnceCalls::makeRecord(uint64_t requestHash) const {
  OnceRecord r;
  r.OwnerName = Node.Name;
  r.OwnerIncarnation = Node.Incarnation;
  r.OwnerAddress = http::toString(Node.Exchange.options().Address);
  r.RequestHash = requestHash;
  r.WrittenMs = wallClockMs();
  r.WriteId = makeId();
  return r;
}

Awaitable<OnceResult> OnceCalls::call(std::string key, uint64_t requestHash,
                                      Operation operation, MonoTime deadline) {
  auto it = Calls.find(key);
  if (it != Calls.end()) {
    LocalCallPtr localCall = it->second;
    if (localCall->RequestHash != requestHash)
      co_return keyReused();
    bool wasNotExecuted =
        localCall->Finished &&
        localCall->Result.Outcome == OnceResult::Kind::NotExecuted;
    if (!wasNotExecuted)
      co_return co_await waitForResult(localCall, deadline);
  }
  auto localCall = std::make_shared<LocalCall>(Node.Io);
  localCall->RequestHash = requestHash;
  Calls[key] = localCall;
  co_return co_await executeAndPublish(std::move(key), localCall,
                                       std::move(operation), deadline);
}

/// Waits for the result of a call of this process, at most until the deadline.
Awaitable<OnceResult> OnceCalls::waitForResult(LocalCallPtr localCall,
                                               MonoTime deadline) {
  while (!localCall->Finished && MonoClock::now() < deadline) {
    boost::asio::steady_timer timer(Node.Io, deadline);
    using namespace boost::asio::experimental::awaitable_operators;
    co_await (
        localCall->Done.async_wait(
            boost::asio::as_tuple(boost::asio::use_awaitable)) ||
        timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable)));
  }
  if (!localCall->Finished)
    co_return outcomeUnknown("the call is still running");
  OnceResult r = localCall->Result;
  if (r.Outcome == OnceResult::Kind::Executed)
    r.Outcome = OnceResult::Kind::Replayed;
  co_return r;
}

Awaitable<OnceResult> OnceCalls::executeAndPublish(std::string key,
                                                   LocalCallPtr localCall,
                                                   Operation operation,
                                                   MonoTime deadline) {
  OnceResult r;
  try {
    r = co_await recordAndExecute(key, localCall->RequestHash,
                                  std::move(operation), deadline);
  } catch (const std::exception &e) {
    // Nothing below throws after the operation has started, so this call was
    // not executed.
    r = notExecuted(e.what(), OnceResult::PriorCalls::Found);
  }
  localCall->Result = r;
  localCall->Finished = true;
  localCall->Done.expires_at(MonoTime::min());
  co_return r;
}

Awaitable<OnceResult> OnceCalls::recordAndExecute(std::string key,
                                                  uint64_t requestHash,
                                                  Operation operation,
                                                  MonoTime deadline) {
  OnceRecord record = makeRecord(requestHash);
  if (!Node.Options.get(WriteRecords))
    co_return co_await executeRecorded(key, record, 0, std::move(operation));
  MonoTime writeDeadline = std::min(
      deadline, MonoClock::now() + Node.Options.milliseconds(OnceWriteTimeout));
  std::optional<uint64_t> version;
  std::optional<Failure> failure;
  std::string reason;
  try {
    version = co_await Store.write(key, record, 0, writeDeadline);
  } catch (const StoreError &e) {
    failure = e.Reason;
    reason = e.what();
  }
  if (version)
    co_return co_await executeRecorded(key, record, *version,
                                       std::move(operation));
  if (failure != Failure::VersionConflict)
    co_return notExecuted(reason, OnceResult::PriorCalls::NotKnown);
  std::optional<once::VersionedRecord> found = co_await Store.read(key);
  if (!found)
    co_return notExecuted("the record of the call was changed concurrently",
                          OnceResult::PriorCalls::Found);
  co_return co_await handleExistingRecord(key, std::move(*found), requestHash,
                                          std::move(operation), deadline);
}

/// Handles a call whose key already has a record.
Awaitable<OnceResult>
OnceCalls::handleExistingRecord(std::string key, once::VersionedRecord found,
                                uint64_t requestHash, Operation operation,
                                MonoTime deadline) {
  const OnceRecord &r = found.Record;
  if (r.RequestHash != requestHash)
    co_return keyReused();
  if (r.State == RecordState::Answered)
    co_return withResponse(OnceResult::Kind::Replayed, r.Response);
  if (r.State == RecordState::Unknown)
    co_return outcomeUnknown(
        "the outcome of an earlier execution is not known");
  // A record of this process without a running call belongs to a write that
  // timed out. The call of that write was not executed.
  bool mayTakeOver = r.State == RecordState::Released ||
                     r.OwnerIncarnation == Node.Incarnation;
  if (!mayTakeOver) {
    OnceResult ownerResult = co_await queryOwner(key, r, deadline);
    if (ownerResult.Outcome != OnceResult::Kind::NotExecuted)
      co_return ownerResult;
  }
  OnceRecord newRecord = makeRecord(requestHash);
  MonoTime writeDeadline = std::min(
      deadline, MonoClock::now() + Node.Options.milliseconds(OnceWriteTimeout));
  std::optional<uint64_t> version;
  try {
    version =
        co_await Store.write(key, newRecord, found.Version, writeDeadline);
  } catch (const StoreError &e) {
    if (e.Reason != Failure::VersionConflict)
      throw;
  }
  if (!version)
    co_return outcomeUnknown("another process has taken over the call");
  co_return co_await executeRecorded(key, newRecord, *version,
                                     std::move(operation));
}

Awaitable<OnceResult> OnceCalls::queryOwner(std::string key, OnceRecord record,
                                            MonoTime deadline) {
  messages::JoinRequest request;
  request.set_time(Node.Recorder.clock().now().Value);
  request.set_key(key);
  request.set_incarnation(record.OwnerIncarnation);
  Milliseconds remaining = toMilliseconds(deadline - MonoClock::now());
  Milliseconds wait = std::max(remaining - JoinMargin, Milliseconds(0));
  request.set_wait_ms(static_cast<uint64_t>(wait.count()));
  messages::JoinReply reply;
  try {
    std::string body = co_await Node.RpcClient.call(
        http::parseEndpoint(record.OwnerAddress), JoinPath,
        request.SerializeAsString(), wait + JoinMargin);
    if (!reply.ParseFromString(body))
      co_return outcomeUnknown("the response of the owner is invalid");
  } catch (const Error &e) {
    co_return outcomeUnknown(e.what());
  }
  if (reply.state() == messages::ANSWERED)
    co_return withResponse(
        OnceResult::Kind::Replayed,
        {reply.status(), reply.content_type(), reply.body(), false});
  if (reply.state() == messages::NEVER_RUN)
    co_return notExecuted("the owner did not execute the call");
  co_return outcomeUnknown("the owner does not know the outcome");
}

Awaitable<std::string> OnceCalls::handleJoin(std::string body) {
  messages::JoinRequest request;
  messages::JoinReply reply;
  request.ParseFromString(body);
  Node.Recorder.clock().observe({request.time()});
  reply.set_state(messages::NOT_MINE);
  auto it = Calls.find(request.key());
  if (request.incarnation() == Node.Incarnation && it != Calls.end()) {
    OnceResult r = co_await waitForResult(
        it->second, MonoClock::now() + Milliseconds(request.wait_ms()));
    switch (r.Outcome) {
    case OnceResult::Kind::Executed:
    case OnceResult::Kind::Replayed:
      reply.set_state(messages::ANSWERED);
      reply.set_status(r.Response.Status);
      reply.set_content_type(r.Response.ContentType);
      reply.set_body(r.Response.Body);
      break;
    case OnceResult::Kind::NotExecuted:
      reply.set_state(r.Prior == OnceResult::PriorCalls::Found
                          ? messages::OUTCOME_UNKNOWN
                          : messages::NEVER_RUN);
      break;
    default:
      reply.set_state(messages::OUTCOME_UNKNOWN);
    }
  }
  reply.set_time(Node.Recorder.clock().now().Value);
  co_return reply.SerializeAsString();
}

Awaitable<OnceResult> OnceCalls::executeRecorded(std::string key,
                                                 OnceRecord record,
                                                 uint64_t version,
                                                 Operation operation) {
  Node.Recorder.record({.Kind = timeline::EventKind::OnceRecorded, .Key = key});
  BackendResult result;
  try {
    result = co_await operation();
  } catch (const std::exception &e) {
    result.Run = Executed::Unknown;
    result.Reason = e.what();
  }
  OnceResult out;
  if (result.Run == Executed::Yes) {
    record.State = RecordState::Answered;
    record.Response = once::makeStoredResponse(result.Response.Status,
                                               result.Response.ContentType,
                                               result.Response.Body);
    out = withResponse(OnceResult::Kind::Executed, std::move(result.Response));
  } else if (result.Run == Executed::No) {
    record.State = RecordState::Released;
    out = notExecuted(result.Reason);
  } else {
    record.State = RecordState::Unknown;
    out = outcomeUnknown(result.Reason);
  }
  if (Node.Options.get(WriteRecords))
    storeOutcome(std::move(key), std::move(record), version);
  co_return out;
}

/// Writes the outcome in the background and retries until the store accepts it
/// or the record has another version.
void OnceCalls::storeOutcome(std::string key, OnceRecord record,
                             uint64_t version) {
  record.WriteId = makeId();
  LocalCallPtr localCall = Calls[key];
  spawn(Node.Io, "once-outcome",
        [this, key, record, version, localCall]() -> Awaitable<void> {
          store::Backoff backoff(InitialOutcomeRetryDelay,
                                 MaxOutcomeRetryDelay);
          for (;;) {
            bool isDone = false;
            try {
              co_await Store.write(key, record, version,
                                   MonoClock::now() + OutcomeWriteTimeout);
              isDone = true;
            } catch (const StoreError &e) {
              isDone = e.Reason == Failure::VersionConflict;
            }
            if (isDone)
              break;
            co_await sleepFor(backoff.next());
          }
          co_await sleepFor(FinishedCallRetention);
          auto it = Calls.find(key);
          if (it != Calls.end() && it->second == localCall)
            Calls.erase(it);
        });
}

} // namespace sardineford::entry
