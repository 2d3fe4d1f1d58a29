#include "Peers/LoadExchange.h"

#include "Messages/Messages.pb.h"
#include "Sardineford/Common/Log.h"
#include "Sardineford/Common/Random.h"
#include "Sardineford/Store/Write.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

namespace sardineford::peers {

namespace asio = boost::asio;
namespace json = boost::json;
using asio::use_awaitable;
using asio::ip::udp;

namespace {

using log::Category;

/// Kind of the objects by which the processes find one another.
constexpr const char *MemberKind = "sardineford-nodes";
/// Within this time few requests arrive, so that placing knows nearly all of
/// what is in flight.
constexpr Milliseconds SendEvery{60};
/// Datagrams that a process sends in a second, at most about. With this many,
/// 58 processes use 0.012 of a core each for everything (docs/CAPACITY.md).
constexpr double MostPerSecond = 120;
/// An unchanged report is repeated so that peers know the sender alive.
constexpr Milliseconds RepeatEvery{500};
/// A new process lists the others and is known to them by its reports, so that
/// the list is read again only to find what was missed.
constexpr Milliseconds ListEvery{20'000};
constexpr Milliseconds FirstRetry{200};
constexpr Milliseconds LongestRetry{3'000};
/// Each part is told twice, since datagrams are lost at times.
constexpr int PartRepeats = 2;
constexpr size_t MaxDatagram = size_t{60} * 1024;
/// Passed on reports are split into datagrams of about this size.
constexpr size_t RelayBytes = size_t{8} * 1024;

uint32_t wholeTokens(double n) {
  return static_cast<uint32_t>(std::max(0.0, n));
}

fleet::WorkInFlight decodeShare(const messages::ServerShare &in) {
  fleet::WorkInFlight out;
  out.Requests = in.requests();
  for (int i = 0; i < in.prompt_tokens_size(); ++i)
    if (static_cast<size_t>(i) < fleet::NumWorkPriorities)
      out.Tokens[static_cast<size_t>(i)] = in.prompt_tokens(i);
  return out;
}

} // namespace

LoadExchange::LoadExchange(IoContext &io, store::ObjectStore &store,
                           std::string node, http::Endpoint listen,
                           fleet::Directory &directory,
                           metrics::Metrics &metrics)
    : Io(io), Store(store), Node(std::move(node)),
      Incarnation(makeIncarnation()), Listen(std::move(listen)),
      Servers(directory), Metrics(metrics), Socket(io), Peers(Listen),
      Own(std::make_unique<messages::LoadShare>()) {}

LoadExchange::~LoadExchange() = default;

void LoadExchange::start() {
  udp::endpoint at(asio::ip::make_address(Listen.Host), Listen.Port);
  Socket.open(at.protocol());
  Socket.bind(at);
  Socket.non_blocking(true);
  spawn(Io, "members", [this] { return membershipLoop(); });
  spawn(Io, "load-send", [this] { return sendLoop(); });
  spawn(Io, "load-receive", [this] { return receiveLoop(); });
}

unsigned LoadExchange::processes() const {
  return static_cast<unsigned>(View.peers() + 1);
}

Milliseconds LoadExchange::sendInterval(const PeerSet::Sends &to) const {
  auto n = static_cast<double>(to.Near.size() + to.Far.size());
  return std::max(SendEvery, toMilliseconds(Seconds(n / MostPerSecond)));
}

Awaitable<void> LoadExchange::registerOwn() {
  std::string value =
      json::serialize(json::object{{"address", http::toString(Listen)}});
  std::optional<store::Object> found = co_await Store.get(MemberKind, Node);
  if (!found || found->Value != value)
    co_await Store.put(MemberKind, Node, value, found ? found->Version : 0);
  Registered = true;
}

Awaitable<void> LoadExchange::readMembers() {
  store::ObjectList list = co_await Store.list(MemberKind);
  MonoTime now = MonoClock::now();
  for (const store::Object &it : list.Objects) {
    try {
      json::value v = json::parse(it.Value);
      http::Endpoint at =
          http::parseEndpoint(json::value_to<std::string>(v.at("address")));
      Peers.noteListed(at, now);
    } catch (const std::exception &e) {
      log::event(Category::Peers, log::Level::Warning, "member_skipped",
                 {{"name", it.Name}, {"error", std::string_view(e.what())}});
    }
  }
}

Awaitable<void> LoadExchange::membershipLoop() {
  store::Backoff backoff(FirstRetry, LongestRetry);
  // Processes that start together do not all ask at once.
  co_await sleepFor(jittered(FirstRetry));
  for (;;) {
    bool failed = false;
    try {
      if (!Registered)
        co_await registerOwn();
      co_await readMembers();
      backoff.reset();
    } catch (const Error &e) {
      log::event(Category::Peers, log::Level::Debug, "members_unknown",
                 {{"error", std::string_view(e.what())}});
      failed = true;
    }
    // Others that start at the same time register a moment later.
    Milliseconds pause = Peers.empty() ? FirstRetry * 4 : ListEvery;
    co_await sleepFor(failed ? backoff.next() : jittered(pause));
  }
}

void LoadExchange::publishPart(const std::string &server, uint64_t part,
                               uint64_t tokens) {
  Parts.push_back({server, part, tokens, PartRepeats});
}

bool LoadExchange::renewReport() {
  messages::LoadShare &out = *Own;
  out.Clear();
  out.set_node(Node);
  out.set_incarnation(Incarnation);
  out.set_address(http::toString(Listen));
  Servers.forEach([&](const fleet::Server &s) {
    if (s.LocalWork.Requests == 0)
      return;
    messages::ServerShare *share = out.add_servers();
    share->set_server(s.Entry.Id);
    for (double it : s.LocalWork.Tokens)
      share->add_prompt_tokens(wholeTokens(it));
    share->set_requests(s.LocalWork.Requests);
  });
  for (PartUse &it : Parts) {
    messages::PartUse *use = out.add_parts();
    use->set_server(it.Server);
    use->set_part(it.Part);
    use->set_tokens(static_cast<uint32_t>(it.Tokens));
    --it.Repeats;
  }
  std::erase_if(Parts, [](const PartUse &it) { return it.Repeats <= 0; });
  if (OwnView) {
    fleet::StoreView v = OwnView();
    out.set_configuration_digest(v.Configuration.Digest);
    out.set_configuration_newest(v.Configuration.NewestVersion);
    out.set_servers_digest(v.Servers.Digest);
    out.set_servers_newest(v.Servers.NewestVersion);
  }
  std::string body = out.SerializeAsString();
  MonoTime now = MonoClock::now();
  bool due = body != LastSent || now - LastSentAt >= RepeatEvery;
  if (due) {
    LastSent = std::move(body);
    LastSentAt = now;
    ++Sequence;
  }
  out.set_sequence(Sequence);
  return due;
}

void LoadExchange::send(const std::string &bytes,
                        const std::vector<http::Endpoint> &to) {
  boost::system::error_code ec;
  for (const http::Endpoint &it : to) {
    udp::endpoint at(asio::ip::make_address(it.Host, ec), it.Port);
    // A datagram that cannot be sent is replaced by the next one.
    if (!ec)
      Socket.send_to(asio::buffer(bytes), at, 0, ec);
    if (ec)
      Metrics.count("sardineford_load_reports_unsent_total", {});
  }
}

void LoadExchange::sendOwn(const std::vector<http::Endpoint> &to) {
  if (!to.empty())
    send(Own->SerializeAsString(), to);
}

void LoadExchange::sendWithRelayed(const std::vector<http::Endpoint> &to) {
  size_t size = 0;
  auto flush = [&] {
    send(Own->SerializeAsString(), to);
    Own->clear_relayed();
    size = 0;
  };
  for (const auto &[node, report] : ToRelay) {
    size_t n = report->ByteSizeLong();
    if (size > 0 && size + n > RelayBytes)
      flush();
    *Own->add_relayed() = *report;
    size += n;
  }
  ToRelay.clear();
  flush();
}

Awaitable<void> LoadExchange::sendLoop() {
  Milliseconds pause = SendEvery;
  for (;;) {
    co_await sleepFor(pause);
    MonoTime now = MonoClock::now();
    View.forget(now);
    applyTotals();
    if (PeersChanged)
      PeersChanged();
    PeerSet::Sends to = Peers.next(now);
    pause = sendInterval(to);
    bool changed = renewReport();
    if (changed)
      sendOwn(to.Near);
    sendOwn(std::exchange(ToAnswer, {}));
    Own->set_wants_answer(true);
    sendOwn(to.Silent);
    Own->set_wants_answer(false);
    if (to.Far.empty())
      ToRelay.clear();
    else if (changed || !ToRelay.empty())
      sendWithRelayed(to.Far);
  }
}

void LoadExchange::takeDatagram(std::string_view bytes,
                                const http::Endpoint &from) {
  messages::LoadShare in;
  bool parsed = in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
  if (!parsed || in.node() == Node) {
    Metrics.count("sardineford_load_reports_bad_total", {});
    return;
  }
  takeReport(in, from);
  try {
    for (const messages::LoadShare &it : in.relayed())
      if (it.node() != Node)
        takeReport(it, http::parseEndpoint(it.address()));
  } catch (const Error &e) {
    log::debug(Category::Peers, "a relayed report: {}", e.what());
    Metrics.count("sardineford_load_reports_bad_total", {});
  }
  applyChanged();
  if (in.wants_answer())
    ToAnswer.push_back(from);
  if (Peers.isNear(from))
    keepForRelay(in);
}

void LoadExchange::takeReport(const messages::LoadShare &in,
                              const http::Endpoint &from) {
  PeerReport report{in.node(), in.incarnation(), in.sequence(), {}};
  for (const messages::ServerShare &it : in.servers())
    report.Servers.emplace_back(it.server(), decodeShare(it));
  MonoTime now = MonoClock::now();
  for (const messages::PartUse &it : in.parts())
    if (fleet::ServerPtr server = Servers.find(it.server()))
      server->CachedParts.recordUse(it.part(), it.tokens(), now);
  Peers.noteHeard(from, now);
  if (PeerView)
    PeerView({{in.configuration_digest(), in.configuration_newest()},
              {in.servers_digest(), in.servers_newest()}});
  View.take(std::move(report), now);
}

void LoadExchange::keepForRelay(const messages::LoadShare &in) {
  auto kept = std::make_unique<messages::LoadShare>(in);
  kept->clear_relayed();
  std::unique_ptr<messages::LoadShare> &slot = ToRelay[in.node()];
  // Parts are told a few times only: those of a report that is replaced before
  // it was passed on go with the newer one.
  if (slot)
    kept->mutable_parts()->MergeFrom(slot->parts());
  slot = std::move(kept);
}

void LoadExchange::applyChanged() {
  for (const std::string &it : View.takeChanged())
    if (fleet::ServerPtr server = Servers.find(it))
      server->PeerWork = View.total(it);
}

/// Servers that were found since may have been told of before.
void LoadExchange::applyTotals() {
  View.takeChanged();
  Servers.forEach(
      [&](fleet::Server &s) { s.PeerWork = View.total(s.Entry.Id); });
}

Awaitable<void> LoadExchange::receiveLoop() {
  std::string buf(MaxDatagram, '\0');
  for (;;) {
    udp::endpoint from;
    auto [ec, n] = co_await Socket.async_receive_from(
        asio::buffer(buf), from, asio::as_tuple(use_awaitable));
    if (ec == asio::error::operation_aborted)
      co_return;
    // An earlier datagram met no listener; the next receive goes on.
    if (ec)
      continue;
    takeDatagram(std::string_view(buf).substr(0, n),
                 {from.address().to_string(), from.port()});
  }
}

} // namespace sardineford::peers
