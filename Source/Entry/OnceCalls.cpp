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
constexpr Milliseconds KeepFirstRetry{100};
constexpr Milliseconds KeepLongestRetry{5'000};
constexpr Milliseconds KeepWriteTimeout{10'000};
/// Ended calls are remembered for this long after their outcome is kept.
constexpr Milliseconds RememberEnded{60'000};
constexpr Milliseconds JoinSlack{500};

OnceResult notRun(std::string why,
                  OnceResult::Earlier before = OnceResult::Earlier::None) {
  OnceResult r;
  r.What = OnceResult::Kind::NotRun;
  r.Before = before;
  r.Why = std::move(why);
  return r;
}

OnceResult unknown(std::string why) {
  OnceResult r;
  r.What = OnceResult::Kind::Unknown;
  r.Why = std::move(why);
  return r;
}

OnceResult withAnswer(OnceResult::Kind kind, once::StoredResponse answer) {
  OnceResult r;
  r.What = kind;
  r.Answer = std::move(answer);
  return r;
}

OnceResult keyReused() {
  OnceResult r;
  r.What = OnceResult::Kind::KeyReused;
  return r;
}

int64_t wallMs() {
  return std::chrono::duration_cast<Milliseconds>(
             WallClock::now().time_since_epoch())
      .count();
}

} // namespace

OnceCalls::OnceCalls(node::Node &node, once::OnceStore &store)
    : Node(node), Store(store) {
  Node.RpcServer.handle(JoinPath, [this](std::string body) {
    return answerJoin(std::move(body));
  });
}

OnceRecord OnceCalls::makeRecord(uint64_t requestHash) const {
  OnceRecord r;
  r.OwnerName = Node.Name;
  r.OwnerIncarnation = Node.Incarnation;
  r.OwnerAddress = http::toString(Node.Exchange.options().Address);
  r.RequestHash = requestHash;
  r.WrittenMs = wallMs();
  r.WriteId = makeId();
  return r;
}

Awaitable<OnceResult> OnceCalls::call(std::string key, uint64_t requestHash,
                                      Run run, MonoTime deadline) {
  auto it = Calls.find(key);
  if (it != Calls.end()) {
    RunningPtr entry = it->second;
    if (entry->RequestHash != requestHash)
      co_return keyReused();
    bool neverRan =
        entry->Ended && entry->Result.What == OnceResult::Kind::NotRun;
    if (!neverRan)
      co_return co_await await(entry, deadline);
  }
  auto entry = std::make_shared<Running>(Node.Io);
  entry->RequestHash = requestHash;
  Calls[key] = entry;
  co_return co_await own(std::move(key), entry, std::move(run), deadline);
}

/// Waits for a call that runs in this process.
Awaitable<OnceResult> OnceCalls::await(RunningPtr entry, MonoTime deadline) {
  while (!entry->Ended && MonoClock::now() < deadline) {
    boost::asio::steady_timer timer(Node.Io, deadline);
    using namespace boost::asio::experimental::awaitable_operators;
    co_await (
        entry->Done.async_wait(
            boost::asio::as_tuple(boost::asio::use_awaitable)) ||
        timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable)));
  }
  if (!entry->Ended)
    co_return unknown("the call still runs");
  OnceResult r = entry->Result;
  if (r.What == OnceResult::Kind::Answered)
    r.What = OnceResult::Kind::Replayed;
  co_return r;
}

Awaitable<OnceResult> OnceCalls::own(std::string key, RunningPtr entry, Run run,
                                     MonoTime deadline) {
  OnceResult r;
  try {
    r = co_await recordAndRun(key, entry->RequestHash, std::move(run),
                              deadline);
  } catch (const std::exception &e) {
    // Nothing below throws once the call has begun to run.
    r = notRun(e.what(), OnceResult::Earlier::Seen);
  }
  entry->Result = r;
  entry->Ended = true;
  entry->Done.expires_at(MonoTime::min());
  co_return r;
}

Awaitable<OnceResult> OnceCalls::recordAndRun(std::string key,
                                              uint64_t requestHash, Run run,
                                              MonoTime deadline) {
  OnceRecord record = makeRecord(requestHash);
  if (!Node.Options.get(WriteRecords))
    co_return co_await runRecorded(key, record, 0, std::move(run));
  MonoTime writeDeadline = std::min(
      deadline, MonoClock::now() + Node.Options.milliseconds(OnceWriteTimeout));
  std::optional<uint64_t> version;
  std::optional<Failure> failure;
  std::string why;
  try {
    version = co_await Store.write(key, record, 0, writeDeadline);
  } catch (const StoreError &e) {
    failure = e.Reason;
    why = e.what();
  }
  if (version)
    co_return co_await runRecorded(key, record, *version, std::move(run));
  if (failure != Failure::VersionConflict)
    co_return notRun(why, OnceResult::Earlier::NotKnown);
  std::optional<once::VersionedRecord> found = co_await Store.read(key);
  if (!found)
    co_return notRun("the record of the call changed meanwhile",
                     OnceResult::Earlier::Seen);
  co_return co_await fromRecord(key, std::move(*found), requestHash,
                                std::move(run), deadline);
}

/// Decides by a record that was there before.
Awaitable<OnceResult> OnceCalls::fromRecord(std::string key,
                                            once::VersionedRecord found,
                                            uint64_t requestHash, Run run,
                                            MonoTime deadline) {
  const OnceRecord &r = found.Record;
  if (r.RequestHash != requestHash)
    co_return keyReused();
  if (r.State == RecordState::Answered)
    co_return withAnswer(OnceResult::Kind::Replayed, r.Response);
  if (r.State == RecordState::Unknown)
    co_return unknown("an earlier run had no known outcome");
  // A record of this process without a call that runs is one whose write was
  // given up on; the call of that write was never run.
  bool mayTake = r.State == RecordState::Released ||
                 r.OwnerIncarnation == Node.Incarnation;
  if (!mayTake) {
    OnceResult asked = co_await askOwner(key, r, deadline);
    if (asked.What != OnceResult::Kind::NotRun)
      co_return asked;
  }
  OnceRecord mine = makeRecord(requestHash);
  MonoTime writeDeadline = std::min(
      deadline, MonoClock::now() + Node.Options.milliseconds(OnceWriteTimeout));
  std::optional<uint64_t> version;
  try {
    version = co_await Store.write(key, mine, found.Version, writeDeadline);
  } catch (const StoreError &e) {
    if (e.Reason != Failure::VersionConflict)
      throw;
  }
  if (!version)
    co_return unknown("another process took the call over");
  co_return co_await runRecorded(key, mine, *version, std::move(run));
}

Awaitable<OnceResult> OnceCalls::askOwner(std::string key, OnceRecord record,
                                          MonoTime deadline) {
  messages::JoinRequest request;
  request.set_time(Node.Recorder.clock().now().Value);
  request.set_key(key);
  request.set_incarnation(record.OwnerIncarnation);
  Milliseconds left = toMilliseconds(deadline - MonoClock::now());
  Milliseconds wait = std::max(left - JoinSlack, Milliseconds(0));
  request.set_wait_ms(static_cast<uint64_t>(wait.count()));
  messages::JoinReply reply;
  try {
    std::string body = co_await Node.RpcClient.call(
        http::parseEndpoint(record.OwnerAddress), JoinPath,
        request.SerializeAsString(), wait + JoinSlack);
    if (!reply.ParseFromString(body))
      co_return unknown("the owner's answer cannot be read");
  } catch (const Error &e) {
    co_return unknown(e.what());
  }
  if (reply.state() == messages::ANSWERED)
    co_return withAnswer(
        OnceResult::Kind::Replayed,
        {reply.status(), reply.content_type(), reply.body(), false});
  if (reply.state() == messages::NEVER_RUN)
    co_return notRun("its owner never ran it");
  co_return unknown("the owner does not know the outcome");
}

Awaitable<std::string> OnceCalls::answerJoin(std::string body) {
  messages::JoinRequest request;
  messages::JoinReply reply;
  request.ParseFromString(body);
  Node.Recorder.clock().observe({request.time()});
  reply.set_state(messages::NOT_MINE);
  auto it = Calls.find(request.key());
  if (request.incarnation() == Node.Incarnation && it != Calls.end()) {
    OnceResult r = co_await await(
        it->second, MonoClock::now() + Milliseconds(request.wait_ms()));
    switch (r.What) {
    case OnceResult::Kind::Answered:
    case OnceResult::Kind::Replayed:
      reply.set_state(messages::ANSWERED);
      reply.set_status(r.Answer.Status);
      reply.set_content_type(r.Answer.ContentType);
      reply.set_body(r.Answer.Body);
      break;
    case OnceResult::Kind::NotRun:
      reply.set_state(r.Before == OnceResult::Earlier::Seen
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

Awaitable<OnceResult> OnceCalls::runRecorded(std::string key, OnceRecord record,
                                             uint64_t version, Run run) {
  Node.Recorder.record({.Kind = timeline::EventKind::OnceRecorded, .Key = key});
  BackendResult result;
  try {
    result = co_await run();
  } catch (const std::exception &e) {
    result.Run = RunState::Unknown;
    result.Why = e.what();
  }
  OnceResult out;
  if (result.Run == RunState::Yes) {
    record.State = RecordState::Answered;
    record.Response = once::makeStoredResponse(
        result.Answer.Status, result.Answer.ContentType, result.Answer.Body);
    out = withAnswer(OnceResult::Kind::Answered, std::move(result.Answer));
  } else if (result.Run == RunState::No) {
    record.State = RecordState::Released;
    out = notRun(result.Why);
  } else {
    record.State = RecordState::Unknown;
    out = unknown(result.Why);
  }
  if (Node.Options.get(WriteRecords))
    keepOutcome(std::move(key), std::move(record), version);
  co_return out;
}

/// Writes the outcome until the store takes it; the caller does not wait.
void OnceCalls::keepOutcome(std::string key, OnceRecord record,
                            uint64_t version) {
  record.WriteId = makeId();
  RunningPtr entry = Calls[key];
  spawn(Node.Io, "once-outcome",
        [this, key, record, version, entry]() -> Awaitable<void> {
          store::Backoff backoff(KeepFirstRetry, KeepLongestRetry);
          for (;;) {
            bool settled = false;
            try {
              co_await Store.write(key, record, version,
                                   MonoClock::now() + KeepWriteTimeout);
              settled = true;
            } catch (const StoreError &e) {
              settled = e.Reason == Failure::VersionConflict;
            }
            if (settled)
              break;
            co_await sleepFor(backoff.next());
          }
          co_await sleepFor(RememberEnded);
          auto it = Calls.find(key);
          if (it != Calls.end() && it->second == entry)
            Calls.erase(it);
        });
}

} // namespace sardineford::entry
