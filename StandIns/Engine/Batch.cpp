#include "StandIns/Engine/Batch.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace sardineford::standins {

namespace asio = boost::asio;

namespace {

constexpr size_t MaxCachedPrefixes = 64;
/// Time after which a sequence without a connected reader is cancelled.
constexpr Milliseconds AbandonTimeout{5'000};

void notify(const SequencePtr &s) { s->Changed->expires_at(MonoTime::max()); }

} // namespace

Batch::Batch(IoContext &io, EngineSpeed speed, double timeScale)
    : Io(io), Speed(speed), TimeScale(timeScale), Wake(io) {
  spawn(Io, "batch", [this] { return run(); });
}

MonoClock::duration Batch::scaled(Microseconds d) const {
  return fromSeconds(toSeconds(d) * Slowdown / TimeScale);
}

void Batch::add(SequencePtr s) {
  s->Arrival = ++Arrivals;
  s->Changed = std::make_shared<asio::steady_timer>(Io, MonoTime::max());
  s->CachedTokens = cachedTokens(*s);
  s->RemainingPrefillTokens =
      s->Prefilled ? 0 : s->PromptTokens - s->CachedTokens;
  SequencesByAttempt[s->AttemptId] = s;
  auto position =
      std::find_if(Waiting.begin(), Waiting.end(), [&](const SequencePtr &it) {
        return it->Priority < s->Priority;
      });
  Waiting.insert(position, s);
  Wake.cancel();
}

void Batch::cancel(const SequencePtr &s) {
  s->Cancelled = true;
  Waiting.remove(s);
  Running.remove(s);
  SequencesByAttempt.erase(s->AttemptId);
  notify(s);
}

SequencePtr Batch::find(const std::string &attempt) const {
  auto it = SequencesByAttempt.find(attempt);
  return it == SequencesByAttempt.end() ? nullptr : it->second;
}

void Batch::remove(const std::string &attempt) {
  SequencesByAttempt.erase(attempt);
}

std::vector<SequencePtr> Batch::cancelAll() {
  std::vector<SequencePtr> cancelled(Running.begin(), Running.end());
  cancelled.insert(cancelled.end(), Waiting.begin(), Waiting.end());
  for (const SequencePtr &it : cancelled)
    cancel(it);
  return cancelled;
}

uint64_t Batch::piecesOf(const Sequence &s) const {
  uint64_t tokens = s.PromptTokens + s.EndToken;
  return (tokens + Speed.TokensPerPiece - 1) / Speed.TokensPerPiece;
}

size_t Batch::maxBatch() const {
  if (Role == EngineRole::Prefill)
    return Speed.MaxBatchPrefill;
  return Role == EngineRole::Decode ? Speed.MaxBatchDecode
                                    : Speed.MaxBatchMixed;
}

uint64_t Batch::chunk() const {
  if (Role == EngineRole::Prefill)
    return Speed.PrefillRoleChunk;
  return Role == EngineRole::Decode ? Speed.DecodeRoleChunk
                                    : Speed.MixedRoleChunk;
}

BatchLoad Batch::load() const {
  BatchLoad l;
  for (const SequencePtr &it : Running) {
    l.QueuedPrefillTokens += it->RemainingPrefillTokens;
    l.UsedPieces += piecesOf(*it);
  }
  for (const SequencePtr &it : Waiting)
    l.QueuedPrefillTokens += it->RemainingPrefillTokens;
  l.Running = Running.size();
  l.Waiting = Waiting.size();
  return l;
}

std::vector<uint64_t> Batch::cachedPrefixes() const {
  return {PrefixesByAge.begin(), PrefixesByAge.end()};
}

uint64_t Batch::cachedTokens(const Sequence &s) {
  uint64_t pieces = 0;
  for (uint64_t hash : s.PrefixHashes) {
    if (!PrefixUses.contains(hash))
      break;
    ++pieces;
  }
  uint64_t cached = pieces * Speed.TokensPerPiece;
  return s.PromptTokens == 0 ? 0 : std::min(cached, s.PromptTokens - 1);
}

void Batch::addToCache(const Sequence &s) {
  for (uint64_t hash : s.PrefixHashes) {
    if (PrefixUses[hash]++ == 0)
      PrefixesByAge.push_back(hash);
  }
  while (PrefixesByAge.size() > MaxCachedPrefixes) {
    PrefixUses.erase(PrefixesByAge.front());
    PrefixesByAge.pop_front();
  }
}

void Batch::admit() {
  uint64_t used = load().UsedPieces;
  while (!Waiting.empty() && Running.size() < maxBatch()) {
    const SequencePtr &s = Waiting.front();
    uint64_t needed = piecesOf(*s);
    if (used + needed > Speed.TotalPieces && !Running.empty())
      return;
    used += needed;
    Running.push_back(s);
    Waiting.pop_front();
  }
}

SequencePtr Batch::nextPrefill() const {
  SequencePtr best;
  for (const SequencePtr &it : Running) {
    if (it->RemainingPrefillTokens == 0)
      continue;
    if (!best || it->Priority > best->Priority)
      best = it;
  }
  return best;
}

Microseconds Batch::prefillTime(uint64_t tokens) const {
  double ratio = 1;
  if (Role == EngineRole::Decode)
    ratio = Speed.DecodeRolePrefillRatio;
  if (Role == EngineRole::Mixed)
    ratio = Speed.MixedRolePrefillRatio;
  double seconds =
      static_cast<double>(tokens) / (Speed.PrefillTokensPerSecond * ratio);
  return std::chrono::duration_cast<Microseconds>(Seconds(seconds));
}

void Batch::generateTokens() {
  for (auto it = Running.begin(); it != Running.end();) {
    SequencePtr s = *it;
    if (s->RemainingPrefillTokens > 0) {
      ++it;
      continue;
    }
    if (!s->Prefilled) {
      s->Prefilled = true;
      addToCache(*s);
    }
    if (!s->PrefillOnly)
      ++s->NextToken;
    s->Finished = s->PrefillOnly || s->NextToken >= s->EndToken;
    it = s->Finished ? Running.erase(it) : std::next(it);
    notify(s);
  }
}

void Batch::cancelAbandoned() {
  std::vector<SequencePtr> abandoned;
  for (const auto &[name, s] : SequencesByAttempt)
    if (!s->ReaderConnected && s->DisconnectedAt != MonoTime{} &&
        MonoClock::now() - s->DisconnectedAt > AbandonTimeout)
      abandoned.push_back(s);
  for (const SequencePtr &it : abandoned)
    cancel(it);
}

Awaitable<void> Batch::run() {
  for (;;) {
    admit();
    if (Running.empty()) {
      cancelAbandoned();
      Wake.expires_after(std::chrono::seconds(1));
      co_await Wake.async_wait(asio::as_tuple(asio::use_awaitable));
      continue;
    }
    SequencePtr prefill = nextPrefill();
    uint64_t tokens =
        prefill ? std::min(prefill->RemainingPrefillTokens, chunk()) : 0;
    size_t decoding = 0;
    for (const SequencePtr &it : Running)
      decoding += it->RemainingPrefillTokens == 0 && !it->PrefillOnly ? 1 : 0;
    Microseconds step = prefillTime(tokens);
    if (decoding > 0)
      step += Speed.StepBase +
              Speed.StepPerSequence * static_cast<int64_t>(decoding);
    co_await sleepFor(scaled(step));
    if (prefill)
      prefill->RemainingPrefillTokens -=
          std::min(prefill->RemainingPrefillTokens, tokens);
    generateTokens();
  }
}

} // namespace sardineford::standins
