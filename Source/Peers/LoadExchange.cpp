#include "Peers/LoadExchange.h"

#include "Messages/Messages.pb.h"
#include "Peers/Mesh.h"
#include "Peers/RelayCodec.h"
#include "Peers/ReportCodec.h"
#include "Peers/ShareCodec.h"
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

/// Kind of the store objects by which the processes discover each other.
constexpr const char *MemberKind = "sardineford-nodes";
/// Few requests arrive within this interval, so that placement knows nearly all
/// work in flight.
constexpr Milliseconds MinSendInterval{60};
/// Approximate limit; with this rate, each of 58 processes uses 0.012 of a core
/// in total (docs/CAPACITY.md).
constexpr double MaxDatagramsPerSecond = 120;
/// An unchanged report is repeated at this interval so that peers know that the
/// sender is running.
constexpr Milliseconds RepeatInterval{500};
/// A new process reads the list and becomes known to its peers through its
/// reports, so that the list is read again only to find missed peers.
constexpr Milliseconds ListInterval{20'000};
/// In larger fleets the interval grows with the number of processes, so that
/// the calls to the store do not.
constexpr unsigned ProcessesPerListInterval = 12;
constexpr Milliseconds InitialRetryDelay{200};
constexpr Milliseconds MaxRetryDelay{3'000};
/// Each prompt part is sent twice, since datagrams may be lost.
constexpr int SendsPerPart = 2;
constexpr size_t MaxDatagramBytes = size_t{60} * 1024;
/// Approximate size of the datagrams into which changes are split.
constexpr size_t ChangesDatagramBytes = size_t{8} * 1024;
/// Mean interval between the processes that register again.
constexpr Milliseconds RegisterAgainInterval{10};
/// A process of the group is relayed as running for this time after its report:
/// longer than the interval of the reports.
constexpr Milliseconds RelayedReportAge{700};
/// A larger object is read from the store by each process.
constexpr size_t MaxObjectBytes = size_t{48} * 1024;

} // namespace

LoadExchange::LoadExchange(IoContext &io, store::ObjectStore &store,
                           std::string node, RunningProcess local,
                           fleet::Directory &directory,
                           metrics::Metrics &metrics)
    : Io(io), Store(store), Node(std::move(node)),
      Incarnation(makeIncarnation()), Local(std::move(local)),
      Servers(directory), Metrics(metrics), Socket(io), Peers(Local),
      Tracking(io, directory, metrics, {Node, Incarnation, 0}, Local.Address,
               [this](const messages::LoadShare &datagram,
                      const http::Endpoint &to) {
                 send("tracking", datagram.SerializeAsString(), {to});
               }),
      Origins(io, metrics, Local.Address,
              [this](const messages::LoadShare &datagram,
                     const http::Endpoint &to) {
                send("origins", datagram.SerializeAsString(), {to});
              }),
      LearnedFindings(
          metrics, Local.Address,
          [this](const messages::LoadShare &datagram,
                 const http::Endpoint &to) {
            send("findings", datagram.SerializeAsString(), {to});
          },
          [this](const messages::LoadShare &datagram) {
            sendToAll("findings", datagram);
          }),
      LocalReport(std::make_unique<messages::LoadShare>()) {}

LoadExchange::~LoadExchange() = default;

void LoadExchange::start() {
  udp::endpoint local(asio::ip::make_address(Local.Address.Host),
                      Local.Address.Port);
  Socket.open(local.protocol());
  Socket.bind(local);
  Socket.non_blocking(true);
  spawn(Io, "members", [this] { return membershipLoop(); });
  spawn(Io, "load-send", [this] { return sendLoop(); });
  spawn(Io, "load-receive", [this] { return receiveLoop(); });
}

void LoadExchange::stop() { Socket.close(); }

unsigned LoadExchange::processes() const {
  // In a large fleet, most peers are known through relays alone.
  size_t n =
      Tracking.isActive() ? Peers.activeProcesses().size() : View.peers() + 1;
  return static_cast<unsigned>(n);
}

std::vector<http::Endpoint> LoadExchange::runningPeers() const {
  std::vector<http::Endpoint> out;
  for (const RunningProcess &it : Peers.activeProcesses())
    if (it.Address != Local.Address)
      out.push_back(it.Address);
  return out;
}

std::optional<unsigned> LoadExchange::members() const {
  std::optional<size_t> n = Peers.members();
  return n ? std::make_optional(static_cast<unsigned>(*n)) : std::nullopt;
}

Milliseconds LoadExchange::sendInterval(const PeerSet::Recipients &to) const {
  // Only changes of the store are sent sooner than the repetitions.
  if (Tracking.isActive())
    return RepeatInterval / 2;
  auto n = static_cast<double>(to.SameGroup.size());
  return std::max(MinSendInterval,
                  toMilliseconds(Seconds(n / MaxDatagramsPerSecond)));
}

Awaitable<void> LoadExchange::registerProcess() {
  std::string value =
      json::serialize(json::object{{"address", http::toString(Local.Address)}});
  std::optional<store::Object> found = co_await Store.get(MemberKind, Node);
  if (!HadEntry)
    HadEntry = found.has_value();
  if (!found || found->Value != value)
    co_await Store.put(MemberKind, Node, value, found ? found->Version : 0);
  Registered = true;
}

void LoadExchange::registerAgain() {
  spawn(Io, "register-again", [this] { return registerAgainSoon(); });
}

Awaitable<void> LoadExchange::registerAgainSoon() {
  std::uniform_real_distribution<double> share(0, 1);
  co_await sleepFor(toMilliseconds(Seconds(RegisterAgainInterval) *
                                   processes() * share(randomGenerator())));
  store::Backoff backoff(InitialRetryDelay, MaxRetryDelay);
  Registered = false;
  while (!Registered) {
    try {
      co_await registerProcess();
      log::event(Category::Peers, log::Level::Info, "registered_again", {});
      co_return;
    } catch (const Error &e) {
      log::event(Category::Peers, log::Level::Debug, "registration_failed",
                 {{"error", std::string_view(e.what())}});
    }
    co_await sleepFor(backoff.next());
  }
}

Awaitable<void> LoadExchange::readMembers() {
  store::ObjectList list = co_await Store.list(MemberKind);
  std::vector<http::Endpoint> listed;
  for (const store::Object &it : list.Objects) {
    try {
      json::value v = json::parse(it.Value);
      listed.push_back(
          http::parseEndpoint(json::value_to<std::string>(v.at("address"))));
    } catch (const std::exception &e) {
      log::event(Category::Peers, log::Level::Warning, "member_skipped",
                 {{"name", it.Name}, {"error", std::string_view(e.what())}});
    }
  }
  Peers.applyList(listed, MonoClock::now());
}

Milliseconds LoadExchange::listInterval() const {
  unsigned factor = Position.Processes / ProcessesPerListInterval;
  return ListInterval * std::max(1U, factor);
}

Awaitable<void> LoadExchange::membershipLoop() {
  store::Backoff backoff(InitialRetryDelay, MaxRetryDelay);
  // Spreads the first reads of processes that start together.
  co_await sleepFor(jittered(InitialRetryDelay));
  for (;;) {
    bool failed = false;
    try {
      if (!Registered)
        co_await registerProcess();
      // A process that starts does not know yet how large the fleet is.
      if (Peers.empty() || MonoClock::now() - MembersReadAt >= listInterval()) {
        co_await readMembers();
        MembersReadAt = MonoClock::now();
      }
      backoff.reset();
    } catch (const Error &e) {
      log::event(Category::Peers, log::Level::Debug, "members_unknown",
                 {{"error", std::string_view(e.what())}});
      failed = true;
    }
    // Peers that start at the same time may not be registered yet.
    Milliseconds interval =
        Peers.empty() ? InitialRetryDelay * 4 : ListInterval;
    co_await sleepFor(failed ? backoff.next() : jittered(interval));
  }
}

void LoadExchange::publishPart(const std::string &server, uint64_t part,
                               uint64_t tokens) {
  if (Tracking.isActive())
    Tracking.recordPart(server, {part, tokens});
  else
    Parts.push_back({server, part, tokens, SendsPerPart});
}

bool LoadExchange::updateReport() {
  messages::LoadShare &out = *LocalReport;
  out.Clear();
  out.set_node(Node);
  out.set_incarnation(Incarnation);
  out.set_failure_domain(Local.FailureDomain);
  if (!Tracking.isActive())
    Servers.forEach([&](const fleet::Server &s) {
      if (s.LocalWork.Requests > 0)
        encodeShare(s.Entry.Id, s.LocalWork, *out.add_servers());
    });
  for (PartUse &it : Parts) {
    messages::PartUse *use = out.add_parts();
    use->set_server(it.Server);
    use->set_part(it.Part);
    use->set_tokens(static_cast<uint32_t>(it.Tokens));
    --it.SendsRemaining;
  }
  std::erase_if(Parts,
                [](const PartUse &it) { return it.SendsRemaining <= 0; });
  fleet::StoreView view;
  if (LocalView)
    view = LocalView();
  encodeDigests(view, out);
  out.set_findings_digest(LearnedFindings.digest());
  std::string body = out.SerializeAsString();
  MonoTime now = MonoClock::now();
  // All processes of a large fleet learn of a change from the watchers at about
  // the same time, and none has to report it.
  bool isNews = !Tracking.isActive() || view.Servers.AnswerAge;
  bool isDue =
      (isNews && body != LastSent) || now - LastSentAt >= RepeatInterval;
  if (isDue) {
    LastSent = std::move(body);
    LastSentAt = now;
    ++Sequence;
  }
  out.set_sequence(Sequence);
  encodeAnswerAges(view, out);
  return isDue;
}

void LoadExchange::send(std::string_view kind, const std::string &bytes,
                        const std::vector<http::Endpoint> &to) {
  Metrics.count("sardineford_peer_bytes_total", {{"kind", std::string(kind)}},
                static_cast<double>(bytes.size() * to.size()));
  boost::system::error_code ec;
  for (const http::Endpoint &it : to) {
    udp::endpoint peer(asio::ip::make_address(it.Host, ec), it.Port);
    // A datagram that cannot be sent is superseded by the next one.
    if (!ec)
      Socket.send_to(asio::buffer(bytes), peer, 0, ec);
    if (ec)
      Metrics.count("sardineford_load_reports_unsent_total", {});
  }
}

void LoadExchange::sendReport(const std::vector<http::Endpoint> &to) {
  if (!to.empty())
    send("report", LocalReport->SerializeAsString(), to);
}

void LoadExchange::sendRelay(const std::vector<http::Endpoint> &to) {
  messages::LoadShare datagram;
  datagram.set_node(Node);
  datagram.set_findings_digest(LearnedFindings.digest());
  messages::GroupRelay &out = *datagram.mutable_relay();
  std::vector<RunningProcess> running = {Local};
  for (const auto &[process, time] : GroupReports)
    running.push_back(process);
  encodeProcesses(running, out);
  bool isWatcher = LocalReport->watches_servers();
  if (isWatcher || !isCompact(Local.Address)) {
    *out.add_reports() = *LocalReport;
    out.mutable_reports(0)->set_address(http::toString(Local.Address));
  }
  for (auto &[node, report] : std::exchange(ToRelay, {}))
    *out.add_reports() = std::move(*report);
  if (!to.empty())
    send("relay", datagram.SerializeAsString(), to);
}

Awaitable<void> LoadExchange::sendLoop() {
  Milliseconds interval = MinSendInterval;
  for (;;) {
    co_await sleepFor(interval);
    MonoTime now = MonoClock::now();
    View.removeStale(now);
    updateAllPeerWork();
    updatePosition();
    if (OnPeersChanged)
      OnPeersChanged();
    PeerSet::Recipients to = Peers.selectRecipients(now);
    interval = sendInterval(to);
    Tracking.setProcesses(Peers.activeProcesses());
    Origins.setProcesses(Peers.activeProcesses());
    LearnedFindings.setProcesses(Peers.activeProcesses(), now);
    LearnedFindings.endTurn(now);
    LastRecipients = to;
    if (now - SharesRepeatedAt >= RepeatInterval) {
      SharesRepeatedAt = now;
      Tracking.repeatShares();
    }
    bool changed = updateReport();
    if (changed)
      sendReport(to.SameGroup);
    sendReport(std::exchange(ReplyTo, {}));
    LocalReport->set_wants_answer(true);
    sendReport(to.Silent);
    LocalReport->set_wants_answer(false);
    if (now - RelayedAt < RepeatInterval)
      continue;
    RelayedAt = now;
    std::erase_if(GroupReports, [&](const auto &it) {
      return now - it.second > RelayedReportAge;
    });
    sendRelay(to.OtherGroups);
  }
}

void LoadExchange::handleDatagram(std::string_view bytes,
                                  const http::Endpoint &from) {
  messages::LoadShare in;
  bool parsed = in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
  if (!parsed || in.node() == Node) {
    Metrics.count("sardineford_load_reports_bad_total", {});
    return;
  }
  if (Origins.handle(in, from) || Tracking.handle(in, from))
    return;
  MonoTime now = MonoClock::now();
  if (LearnedFindings.handle(in, now)) {
    relayFindings(in, from);
    return;
  }
  if (in.has_changes()) {
    applyChanges(in, from);
    return;
  }
  if (in.has_version_record()) {
    applyVersionRecord(in, from);
    return;
  }
  if (in.usage_size() > 0) {
    applyUsage(in);
    return;
  }
  if (in.work_size() > 0) {
    applyWork(in);
    return;
  }
  LearnedFindings.checkPeer(in.findings_digest(), from, now);
  if (in.has_relay()) {
    applyRelay(in);
    return;
  }
  applyReport(in, from);
  updateChangedPeerWork();
  if (in.wants_answer())
    ReplyTo.push_back(from);
  if (Peers.isInGroup(from))
    queueForRelay(in, from);
}

void LoadExchange::applyRelay(const messages::LoadShare &in) {
  MonoTime now = MonoClock::now();
  for (const RunningProcess &it : decodeProcesses(in.relay()))
    Peers.recordReport(it, now);
  try {
    for (const messages::LoadShare &it : in.relay().reports())
      if (it.node() != Node)
        applyReport(it, http::parseEndpoint(it.address()));
  } catch (const Error &e) {
    log::debug(Category::Peers, "invalid relayed report: {}", e.what());
    Metrics.count("sardineford_load_reports_bad_total", {});
  }
}

void LoadExchange::applyReport(const messages::LoadShare &in,
                               const http::Endpoint &from) {
  PeerReport report{in.node(), in.incarnation(), in.sequence(), {}};
  for (const messages::ServerShare &it : in.servers())
    report.Servers.emplace_back(it.server(), decodeShare(it));
  MonoTime now = MonoClock::now();
  for (const messages::PartUse &it : in.parts())
    if (fleet::ServerPtr server = Servers.find(it.server()))
      server->CachedParts.recordUse(it.part(), it.tokens(), now);
  Peers.recordReport({in.failure_domain(), from}, now);
  if (OnPeerView)
    OnPeerView(decodeStoreView(in));
  View.update(std::move(report), now);
}

/// Orders the processes by a hash of their addresses, so that the watchers of
/// the store are spread over the failure domains.
void LoadExchange::updatePosition() {
  std::vector<http::Endpoint> processes =
      Peers.expectedProcesses(MonoClock::now());
  if (processes == RankedProcesses)
    return;
  RankedProcesses = std::move(processes);
  uint64_t local = hash64(http::toString(Local.Address));
  auto before = std::count_if(RankedProcesses.begin(), RankedProcesses.end(),
                              [&](const http::Endpoint &it) {
                                return hash64(http::toString(it)) < local;
                              });
  Position = {static_cast<unsigned>(RankedProcesses.size()),
              static_cast<unsigned>(before)};
}

std::vector<http::Endpoint> LoadExchange::firstProcesses(size_t count) const {
  std::vector<std::pair<uint64_t, http::Endpoint>> hashed;
  for (const http::Endpoint &it : RankedProcesses)
    hashed.emplace_back(hash64(http::toString(it)), it);
  count = std::min(count, hashed.size());
  std::partial_sort(hashed.begin(),
                    hashed.begin() + static_cast<std::ptrdiff_t>(count),
                    hashed.end());
  std::vector<http::Endpoint> out;
  for (size_t i = 0; i < count; ++i)
    out.push_back(hashed[i].second);
  return out;
}

void LoadExchange::sendToContenders(std::string_view kind,
                                    messages::LoadShare datagram,
                                    const std::vector<http::Endpoint> &to) {
  datagram.set_node(Node);
  datagram.set_incarnation(Incarnation);
  datagram.set_findings_digest(LearnedFindings.digest());
  datagram.mutable_relay();
  std::vector<http::Endpoint> others;
  for (const http::Endpoint &it : to)
    if (it != Local.Address)
      others.push_back(it);
  send(kind, datagram.SerializeAsString(), others);
}

void LoadExchange::publishUsage(const std::vector<duties::WindowCount> &counts,
                                const std::vector<http::Endpoint> &to) {
  messages::LoadShare datagram;
  for (const duties::WindowCount &it : counts) {
    messages::UsageCount *out = datagram.add_usage();
    out->set_window(it.Window);
    out->set_workspace(it.Workspace);
    out->set_count(it.Count);
  }
  sendToContenders("usage", std::move(datagram), to);
}

void LoadExchange::publishWork(const std::vector<duties::ServiceWork> &work,
                               const std::vector<http::Endpoint> &to) {
  auto toCount = [](Seconds s) {
    return static_cast<uint64_t>(
        std::max<int64_t>(0, toMilliseconds(s).count()));
  };
  messages::LoadShare datagram;
  for (const duties::ServiceWork &it : work) {
    messages::ServiceWork *out = datagram.add_work();
    out->set_service(it.Service);
    out->set_prefill_ms(toCount(it.Done.Prefills));
    out->set_in_flight_ms(toCount(it.Done.InFlight));
  }
  sendToContenders("work", std::move(datagram), to);
}

void LoadExchange::applyWork(const messages::LoadShare &in) {
  if (!OnWork)
    return;
  std::vector<duties::ServiceWork> work;
  for (const messages::ServiceWork &it : in.work())
    work.push_back({it.service(),
                    {Seconds(Milliseconds(it.prefill_ms())),
                     Seconds(Milliseconds(it.in_flight_ms()))}});
  OnWork(in.incarnation(), work);
}

void LoadExchange::applyUsage(const messages::LoadShare &in) {
  if (!OnUsage)
    return;
  std::vector<duties::WindowCount> counts;
  for (const messages::UsageCount &it : in.usage())
    counts.push_back({it.window(), it.workspace(), it.count()});
  OnUsage(in.incarnation(), counts);
}

void LoadExchange::publishChanges(const fleet::PublishedChanges &changes) {
  messages::LoadShare datagram;
  datagram.set_node(Node);
  datagram.set_incarnation(Incarnation);
  encodeChangesHead(changes, datagram);
  messages::ObjectChanges &out = *datagram.mutable_changes();
  auto flush = [&] {
    sendToAll("changes", datagram);
    out.clear_objects();
  };
  for (const store::Object &it : changes.Changes.Objects) {
    if (it.Value.size() > MaxObjectBytes)
      continue;
    size_t size = out.ByteSizeLong() + it.Value.size();
    if (out.objects_size() > 0 && size > ChangesDatagramBytes)
      flush();
    messages::StoredObject *object = out.add_objects();
    object->set_name(it.Name);
    object->set_version(it.Version);
    object->set_value(it.Value);
  }
  if (out.objects_size() == 0)
    return;
  out.set_digest(changes.Publisher.Digest);
  out.set_newest_version(changes.Publisher.NewestVersion);
  flush();
}

void LoadExchange::applyChanges(const messages::LoadShare &in,
                                const http::Endpoint &from) {
  bool isNews = OnChanges && OnChanges(decodeChanges(in));
  bool isFirstHop = !in.changes().relayed() && Peers.isInGroup(from);
  // A process of the group may depend on a relay that is gone.
  bool isGroupInDoubt = isNews && LastRecipients.AreRelaysInDoubt;
  if (!isFirstHop && !isGroupInDoubt)
    return;
  messages::LoadShare copy = in;
  copy.mutable_changes()->set_relayed(true);
  send("changes", copy.SerializeAsString(),
       isFirstHop ? LastRecipients.OtherGroups : LastRecipients.SameGroup);
}

void LoadExchange::sendToAll(std::string_view kind,
                             const messages::LoadShare &datagram) {
  std::string bytes = datagram.SerializeAsString();
  send(kind, bytes, LastRecipients.SameGroup);
  send(kind, bytes, LastRecipients.OtherGroups);
}

void LoadExchange::relayFindings(const messages::LoadShare &in,
                                 const http::Endpoint &from) {
  if (in.findings().relayed() || !Peers.isInGroup(from))
    return;
  messages::LoadShare copy = in;
  copy.mutable_findings()->set_relayed(true);
  send("findings", copy.SerializeAsString(), LastRecipients.OtherGroups);
}

void LoadExchange::publishVersionRecord(const fleet::VersionRecord &record) {
  messages::LoadShare datagram = encodeVersionRecord(record);
  datagram.set_node(Node);
  sendToAll("version record", datagram);
}

void LoadExchange::applyVersionRecord(const messages::LoadShare &in,
                                      const http::Endpoint &from) {
  if (OnVersionRecord)
    OnVersionRecord(decodeVersionRecord(in));
  if (in.version_record().relayed() || !Peers.isInGroup(from))
    return;
  messages::LoadShare copy = in;
  copy.mutable_version_record()->set_relayed(true);
  send("version record", copy.SerializeAsString(), LastRecipients.OtherGroups);
}

void LoadExchange::queueForRelay(const messages::LoadShare &in,
                                 const http::Endpoint &from) {
  if (isCompact(from))
    GroupReports[{in.failure_domain(), from}] = MonoClock::now();
  if (!in.watches_servers() && !in.has_servers_age_ms() && isCompact(from))
    return;
  auto copy = std::make_unique<messages::LoadShare>(in);
  copy->set_address(http::toString(from));
  ToRelay[in.node()] = std::move(copy);
}

void LoadExchange::updateChangedPeerWork() {
  for (const std::string &it : View.takeChanged())
    if (fleet::ServerPtr server = Servers.find(it))
      server->PeerWork = View.total(it);
}

/// Updates all servers, since peers may have reported a server before its entry
/// was found.
void LoadExchange::updateAllPeerWork() {
  // The answers of the trackers are the newest there is.
  if (Tracking.isActive())
    return;
  View.takeChanged();
  Servers.forEach(
      [&](fleet::Server &s) { s.PeerWork = View.total(s.Entry.Id); });
}

Awaitable<void> LoadExchange::receiveLoop() {
  std::string buf(MaxDatagramBytes, '\0');
  for (;;) {
    udp::endpoint from;
    auto [ec, n] = co_await Socket.async_receive_from(
        asio::buffer(buf), from, asio::as_tuple(use_awaitable));
    if (ec == asio::error::operation_aborted)
      co_return;
    // The error is about an earlier datagram that was sent to a closed port;
    // the next receive works.
    if (ec)
      continue;
    handleDatagram(std::string_view(buf).substr(0, n),
                   {from.address().to_string(), from.port()});
  }
}

} // namespace sardineford::peers
