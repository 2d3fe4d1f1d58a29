#include "Sardineford/Exchange/Exchange.h"

#include "Exchange/Wire.h"
#include "Sardineford/Common/Log.h"
#include "Sardineford/Common/Random.h"

#include <algorithm>

namespace sardineford::exchange {

namespace {

constexpr const char *ExchangePath = "/exchange";
constexpr const char *FetchPath = "/generation";
/// Peers that are called at once after a change of the local state.
constexpr int PropagationFanout = 3;
/// Peers that a process calls regularly.
constexpr size_t MaxNeighbours = 8;
/// One call in this many goes to a peer chosen among all peers, so that no part
/// of the system stays separated from the rest.
constexpr int CallsPerRandomPeer = 100;
/// A controller counts as unreachable, and a neighbour is replaced, after this
/// many consecutive failed calls.
constexpr int FailuresUntilUnreachable = 2;

} // namespace

Exchange::Exchange(IoContext &io, ExchangeOptions options, rpc::Server &server,
                   rpc::Client &client, timeline::Recorder &recorder)
    : Io(io), Options(std::move(options)), Client(client), Recorder(recorder) {
  server.handle(ExchangePath, [this](std::string body) {
    return handleExchange(std::move(body));
  });
  server.handle(FetchPath, [this](std::string body) {
    return handleFetch(std::move(body));
  });
  updateSelf();
}

void Exchange::start() {
  spawn(Io, "exchange", [this] { return loop(); });
}

Member &Exchange::self() { return Members[Options.Name]; }

void Exchange::updateSelf() {
  Member &m = self();
  m.Name = Options.Name;
  m.Incarnation = Options.Incarnation;
  m.FailureDomain = Options.FailureDomain;
  m.Address = Options.Address;
  m.IsController = Options.IsController;
  m.Generation = State.generation();
  ++m.Sequence;
  MemberUpdates[Options.Name] = ++LastUpdate;
}

void Exchange::setPeers(std::vector<http::Endpoint> peers) {
  std::erase(peers, Options.Address);
  // Each process sorts the peers in a different order, so that the neighbours
  // of all processes form a random graph.
  uint64_t localHash = hash64(http::toString(Options.Address));
  auto score = [localHash](const http::Endpoint &e) {
    return hash64(http::toString(e), localHash);
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
  updateSelf();
}

void Exchange::setStopping() {
  self().Stopping = true;
  self().Ready = false;
  updateSelf();
  propagate();
}

bool Exchange::applyGeneration(const config::Delta &d) {
  if (!State.apply(d))
    return false;
  updateSelf();
  Recorder.record({.Kind = timeline::EventKind::GenerationApplied,
                   .Generation = State.generation()});
  if (OnGenerationChanged)
    OnGenerationChanged();
  propagate();
  return true;
}

void Exchange::markLeaving(const std::string &backend,
                           const std::string &incarnation) {
  LeavingKey key{backend, incarnation};
  if (!Leaving.insert(key).second)
    return;
  LeavingUpdates[key] = ++LastUpdate;
  Recorder.record({.Kind = timeline::EventKind::EngineLeaving,
                   .Engine = backend,
                   .Detail = incarnation});
  propagate();
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
  HolderUpdates[pool] = ++LastUpdate;
  propagate();
}

std::optional<LeaseHolder> Exchange::holderOf(const std::string &pool) const {
  auto it = Holders.find(pool);
  return it == Holders.end() ? std::nullopt : std::optional(it->second);
}

std::vector<std::string> Exchange::liveControllers() const {
  std::vector<std::string> out;
  for (const auto &[name, m] : Members)
    if (m.IsController && !m.Stopping &&
        m.ConsecutiveFailures < FailuresUntilUnreachable)
      out.push_back(name);
  return out;
}

std::optional<http::Endpoint> Exchange::pickPeer() {
  if (Peers.empty())
    return std::nullopt;
  // The first call to a peer transfers the whole state, so each process calls
  // only a few neighbours. The next peers replace neighbours that fail.
  std::vector<http::Endpoint> neighbours;
  for (const http::Endpoint &it : Peers)
    if (neighbours.size() < MaxNeighbours &&
        PeerSyncs[it].ConsecutiveFailures < FailuresUntilUnreachable)
      neighbours.push_back(it);
  std::uniform_int_distribution<int> chance(0, CallsPerRandomPeer - 1);
  bool useAnyPeer = neighbours.empty() || chance(randomGenerator()) == 0;
  const std::vector<http::Endpoint> &candidates =
      useAnyPeer ? Peers : neighbours;
  std::uniform_int_distribution<size_t> pick(0, candidates.size() - 1);
  return candidates[pick(randomGenerator())];
}

/// Starts exchanges with a few peers after 1 ms. Calls within that time start
/// the exchanges only once.
void Exchange::propagate() {
  if (PropagationPending)
    return;
  PropagationPending = true;
  spawn(Io, "propagate", [this]() -> Awaitable<void> {
    co_await sleepFor(Milliseconds(1));
    PropagationPending = false;
    for (int i = 0; i < PropagationFanout; ++i)
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

void Exchange::PeerSync::resetIfRestarted(const std::string &incarnation) {
  if (Incarnation == incarnation)
    return;
  Incarnation = incarnation;
  SentUpTo = 0;
}

std::string Exchange::makeMessage(uint64_t updatesAfter, bool wantAll) {
  wire::Message out;
  out.Time = Recorder.clock().now();
  out.Generation = State.generation();
  out.From = Options.Address;
  out.WantAll = wantAll;
  out.Incarnation = Options.Incarnation;
  for (const auto &[name, m] : Members)
    if (MemberUpdates[name] > updatesAfter)
      out.Members.push_back(m);
  for (const auto &[key, update] : LeavingUpdates)
    if (update > updatesAfter)
      out.Leaving.push_back({key.Backend, key.Incarnation});
  for (const auto &[pool, h] : Holders)
    if (HolderUpdates[pool] > updatesAfter)
      out.Holders.push_back(h);
  return wire::encode(out);
}

void Exchange::applyMessage(wire::Message in) {
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
    MemberUpdates[known.Name] = ++LastUpdate;
  }
  for (const wire::LeavingMark &it : in.Leaving)
    markLeaving(it.Backend, it.Incarnation);
  for (LeaseHolder &it : in.Holders)
    updateHolder(std::move(it));
}

void Exchange::recordCallResult(const http::Endpoint &peer, bool failed) {
  for (auto &[name, m] : Members)
    if (m.Address == peer)
      m.ConsecutiveFailures = failed ? m.ConsecutiveFailures + 1 : 0;
}

Awaitable<void> Exchange::exchangeWith(http::Endpoint peer) {
  PeerSync previous = PeerSyncs[peer];
  uint64_t sentUpTo = LastUpdate;
  uint64_t peerGeneration = 0;
  try {
    std::string reply = co_await Client.call(
        peer, ExchangePath,
        makeMessage(previous.LastCallFailed ? 0 : previous.SentUpTo,
                    previous.LastCallFailed),
        Options.CallTimeout);
    wire::Message in = wire::decode(reply);
    peerGeneration = in.Generation;
    PeerSync &sync = PeerSyncs[peer];
    sync.resetIfRestarted(in.Incarnation);
    sync.LastCallFailed = false;
    sync.ConsecutiveFailures = 0;
    // If the peer has restarted since the last exchange, this call sent it only
    // the most recent updates.
    bool sameProcess =
        previous.LastCallFailed || previous.Incarnation == in.Incarnation;
    if (sameProcess)
      sync.SentUpTo = std::max(sync.SentUpTo, sentUpTo);
    applyMessage(std::move(in));
  } catch (const Error &e) {
    log::debug(log::Category::Exchange, "exchange with a peer failed: {}",
               e.what());
    recordCallResult(peer, true);
    PeerSyncs[peer].LastCallFailed = true;
    ++PeerSyncs[peer].ConsecutiveFailures;
    co_return;
  }
  recordCallResult(peer, false);
  recordConfirmation(MonoClock::now());
  if (peerGeneration > State.generation())
    co_await fetchFrom(peer);
}

Awaitable<std::string> Exchange::handleExchange(std::string body) {
  wire::Message in = wire::decode(body);
  http::Endpoint from = in.From;
  bool isLocalBehind = in.Generation > State.generation();
  PeerSync &sync = PeerSyncs[from];
  sync.resetIfRestarted(in.Incarnation);
  uint64_t updatesAfter = in.WantAll ? 0 : sync.SentUpTo;
  applyMessage(std::move(in));
  recordConfirmation(MonoClock::now());
  PeerSyncs[from].SentUpTo = LastUpdate;
  if (isLocalBehind)
    spawn(Io, "fetch", [this, from] { return fetchFrom(from); });
  co_return makeMessage(updatesAfter, false);
}

Awaitable<void> Exchange::fetchFrom(http::Endpoint peer) {
  try {
    std::string request =
        wire::encodeFetch(Recorder.clock().now(), State.generation());
    std::string reply =
        co_await Client.call(peer, FetchPath, request, Options.CallTimeout);
    applyGeneration(wire::decodeDelta(reply));
  } catch (const Error &e) {
    log::debug(log::Category::Exchange, "fetching a generation failed: {}",
               e.what());
  }
}

Awaitable<std::string> Exchange::handleFetch(std::string body) {
  uint64_t haveGeneration = wire::decodeFetch(body);
  co_return wire::encodeDelta(Recorder.clock().now(),
                              State.deltaSince(haveGeneration));
}

} // namespace sardineford::exchange
