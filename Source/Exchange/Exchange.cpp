#include "Sardineford/Exchange/Exchange.h"

#include "Exchange/Wire.h"
#include "Sardineford/Common/Log.h"
#include "Sardineford/Common/Random.h"

#include <algorithm>

namespace sardineford::exchange {

namespace {

constexpr const char *ExchangePath = "/exchange";
constexpr const char *FetchPath = "/generation";
/// Peers that hear of news at once.
constexpr int SpreadPeers = 3;
/// Peers that a process calls as a rule.
constexpr size_t Neighbours = 8;
/// One call in so many goes to any peer, so that no part is left alone.
constexpr int AnyPeerEvery = 100;
/// A controller counts as gone after this many failed calls in a row.
constexpr int MaxFailures = 2;

} // namespace

Exchange::Exchange(IoContext &io, ExchangeOptions options, rpc::Server &server,
                   rpc::Client &client, timeline::Recorder &recorder)
    : Io(io), Options(std::move(options)), Client(client), Recorder(recorder) {
  server.handle(ExchangePath, [this](std::string body) {
    return answerExchange(std::move(body));
  });
  server.handle(FetchPath, [this](std::string body) {
    return answerFetch(std::move(body));
  });
  touchSelf();
}

void Exchange::start() {
  spawn(Io, "exchange", [this] { return loop(); });
}

Member &Exchange::self() { return Members[Options.Name]; }

void Exchange::touchSelf() {
  Member &m = self();
  m.Name = Options.Name;
  m.Incarnation = Options.Incarnation;
  m.FailureDomain = Options.FailureDomain;
  m.Address = Options.Address;
  m.IsController = Options.IsController;
  m.Generation = State.generation();
  ++m.Sequence;
  MemberNews[Options.Name] = ++News;
}

void Exchange::setPeers(std::vector<http::Endpoint> peers) {
  std::erase(peers, Options.Address);
  // Each process has an order of its own, so that the neighbours of all make
  // up a random graph.
  uint64_t own = hash64(http::toString(Options.Address));
  auto score = [own](const http::Endpoint &e) {
    return hash64(http::toString(e), own);
  };
  std::sort(peers.begin(), peers.end(),
            [&](const http::Endpoint &a, const http::Endpoint &b) {
              return score(a) > score(b);
            });
  Peers = std::move(peers);
}

void Exchange::setReady(bool ready) {
  if (self().Ready == ready)
    return;
  self().Ready = ready;
  touchSelf();
}

void Exchange::setStopping() {
  self().Stopping = true;
  self().Ready = false;
  touchSelf();
  spread();
}

bool Exchange::applyGeneration(const config::Delta &d) {
  if (!State.apply(d))
    return false;
  touchSelf();
  Recorder.record({.Kind = timeline::EventKind::GenerationApplied,
                   .Generation = State.generation()});
  if (Changed)
    Changed();
  spread();
  return true;
}

void Exchange::markLeaving(const std::string &backend,
                           const std::string &incarnation) {
  LeavingKey key{backend, incarnation};
  if (!Leaving.insert(key).second)
    return;
  LeavingNews[key] = ++News;
  Recorder.record({.Kind = timeline::EventKind::EngineLeaving,
                   .Engine = backend,
                   .Detail = incarnation});
  spread();
}

bool Exchange::isLeaving(const std::string &backend,
                         const std::string &incarnation) const {
  return Leaving.contains({backend, incarnation});
}

void Exchange::updateHolder(LeaseHolder h) {
  auto it = Holders.find(h.Pool);
  if (it != Holders.end() && it->second.Epoch >= h.Epoch)
    return;
  std::string pool = h.Pool;
  Holders[pool] = std::move(h);
  HolderNews[pool] = ++News;
  spread();
}

std::optional<LeaseHolder> Exchange::holderOf(const std::string &pool) const {
  auto it = Holders.find(pool);
  return it == Holders.end() ? std::nullopt : std::optional(it->second);
}

std::vector<std::string> Exchange::liveControllers() const {
  std::vector<std::string> out;
  for (const auto &[name, m] : Members)
    if (m.IsController && !m.Stopping && m.ConsecutiveFailures < MaxFailures)
      out.push_back(name);
  return out;
}

std::optional<http::Endpoint> Exchange::pickPeer() {
  if (Peers.empty())
    return std::nullopt;
  // The first contact with a peer costs the whole state, so each process keeps
  // to few neighbours; those that fail give way to the next.
  std::vector<http::Endpoint> near;
  for (const http::Endpoint &it : Peers)
    if (near.size() < Neighbours && GivenTo[it].FailuresInARow < MaxFailures)
      near.push_back(it);
  std::uniform_int_distribution<int> chance(0, AnyPeerEvery - 1);
  bool any = near.empty() || chance(randomGenerator()) == 0;
  const std::vector<http::Endpoint> &from = any ? Peers : near;
  std::uniform_int_distribution<size_t> pick(0, from.size() - 1);
  return from[pick(randomGenerator())];
}

/// Tells a few peers at once; calls in quick succession are merged.
void Exchange::spread() {
  if (Spreading)
    return;
  Spreading = true;
  spawn(Io, "spread", [this]() -> Awaitable<void> {
    co_await sleepFor(Milliseconds(1));
    Spreading = false;
    for (int i = 0; i < SpreadPeers; ++i)
      if (std::optional<http::Endpoint> peer = pickPeer())
        spawn(Io, "exchange-now",
              [this, at = *peer] { return exchangeWith(at); });
  });
}

Awaitable<void> Exchange::loop() {
  for (;;) {
    co_await sleepFor(jittered(Options.Interval));
    if (std::optional<http::Endpoint> peer = pickPeer())
      co_await exchangeWith(*peer);
  }
}

void Exchange::Given::meet(const std::string &incarnation) {
  if (Incarnation == incarnation)
    return;
  Incarnation = incarnation;
  News = 0;
}

std::string Exchange::makeMessage(uint64_t newsAfter, bool wantAll) {
  wire::Message out;
  out.Time = Recorder.clock().now();
  out.Generation = State.generation();
  out.From = Options.Address;
  out.WantAll = wantAll;
  out.Incarnation = Options.Incarnation;
  for (const auto &[name, m] : Members)
    if (MemberNews[name] > newsAfter)
      out.Members.push_back(m);
  for (const auto &[key, position] : LeavingNews)
    if (position > newsAfter)
      out.Leaving.push_back({key.Backend, key.Incarnation});
  for (const auto &[pool, h] : Holders)
    if (HolderNews[pool] > newsAfter)
      out.Holders.push_back(h);
  return wire::encode(out);
}

void Exchange::takeMessage(wire::Message in) {
  Recorder.clock().observe(in.Time);
  for (Member &it : in.Members) {
    if (it.Name == Options.Name)
      continue;
    Member &known = Members[it.Name];
    // Incarnations begin with the start time, so the greater one is newer.
    bool isNewer = it.Incarnation != known.Incarnation
                       ? it.Incarnation > known.Incarnation
                       : it.Sequence > known.Sequence;
    if (!isNewer)
      continue;
    known = std::move(it);
    MemberNews[known.Name] = ++News;
  }
  for (const wire::LeavingMark &it : in.Leaving)
    markLeaving(it.Backend, it.Incarnation);
  for (LeaseHolder &it : in.Holders)
    updateHolder(std::move(it));
}

void Exchange::noteFailure(const http::Endpoint &peer, bool failed) {
  for (auto &[name, m] : Members)
    if (m.Address == peer)
      m.ConsecutiveFailures = failed ? m.ConsecutiveFailures + 1 : 0;
}

Awaitable<void> Exchange::exchangeWith(http::Endpoint peer) {
  Given before = GivenTo[peer];
  uint64_t upTo = News;
  uint64_t theirs = 0;
  try {
    std::string reply = co_await Client.call(
        peer, ExchangePath,
        makeMessage(before.Failed ? 0 : before.News, before.Failed),
        Options.CallTimeout);
    wire::Message in = wire::decode(reply);
    theirs = in.Generation;
    Given &given = GivenTo[peer];
    given.meet(in.Incarnation);
    given.Failed = false;
    given.FailuresInARow = 0;
    // A process that was started anew heard only the newest of the news.
    bool sameProcess = before.Failed || before.Incarnation == in.Incarnation;
    if (sameProcess)
      given.News = std::max(given.News, upTo);
    takeMessage(std::move(in));
  } catch (const Error &e) {
    log::debug(log::Category::Exchange, "exchange: {}", e.what());
    noteFailure(peer, true);
    GivenTo[peer].Failed = true;
    ++GivenTo[peer].FailuresInARow;
    co_return;
  }
  noteFailure(peer, false);
  recordConfirmation(MonoClock::now());
  if (theirs > State.generation())
    co_await fetchFrom(peer);
}

Awaitable<std::string> Exchange::answerExchange(std::string body) {
  wire::Message in = wire::decode(body);
  http::Endpoint from = in.From;
  bool isBehind = in.Generation > State.generation();
  Given &given = GivenTo[from];
  given.meet(in.Incarnation);
  uint64_t newsAfter = in.WantAll ? 0 : given.News;
  takeMessage(std::move(in));
  recordConfirmation(MonoClock::now());
  GivenTo[from].News = News;
  if (isBehind)
    spawn(Io, "fetch", [this, from] { return fetchFrom(from); });
  co_return makeMessage(newsAfter, false);
}

Awaitable<void> Exchange::fetchFrom(http::Endpoint peer) {
  try {
    std::string request =
        wire::encodeFetch(Recorder.clock().now(), State.generation());
    std::string reply =
        co_await Client.call(peer, FetchPath, request, Options.CallTimeout);
    applyGeneration(wire::decodeDelta(reply));
  } catch (const Error &e) {
    log::debug(log::Category::Exchange, "fetch of a generation: {}", e.what());
  }
}

Awaitable<std::string> Exchange::answerFetch(std::string body) {
  uint64_t have = wire::decodeFetch(body);
  co_return wire::encodeDelta(Recorder.clock().now(), State.deltaSince(have));
}

} // namespace sardineford::exchange
