#include "Peers/LoadTracking.h"

#include "Messages/Messages.pb.h"
#include "Peers/Mesh.h"
#include "Peers/ShareCodec.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace sardineford::peers {

namespace asio = boost::asio;

namespace {

/// A few round trips between failure domains, and the time that a busy process
/// takes for its other work. A missing answer delays the request by this.
constexpr Milliseconds QueryTimeout{25};

} // namespace

struct LoadTracking::PendingQuery {
  explicit PendingQuery(IoContext &io) : Done(io) {}

  size_t MissingTrackers = 0;
  std::vector<TrackedAnswer> Answers;
  asio::steady_timer Done;
};

LoadTracking::LoadTracking(IoContext &io, fleet::Directory &directory,
                           metrics::Metrics &metrics, ShareOrigin local,
                           http::Endpoint address, Send send)
    : Io(io), Servers(directory), Metrics(metrics), Local(std::move(local)),
      Address(std::move(address)), SendTo(std::move(send)) {}

LoadTracking::~LoadTracking() = default;

void LoadTracking::setProcesses(const std::vector<RunningProcess> &processes) {
  bool wasActive = std::exchange(Active, isGrouped(processes.size()));
  if (!Trackers.setProcesses(processes) && wasActive == Active)
    return;
  // Servers may have other trackers now.
  Servers.forEach([&](const fleet::Server &it) {
    if (it.LocalWork.Requests > 0)
      recordChange(it.Entry.Id);
  });
}

messages::LoadShare LoadTracking::makeDatagram() const {
  messages::LoadShare out;
  out.set_node(Local.Node);
  return out;
}

const http::Endpoint &LoadTracking::trackerOf(const std::string &server) {
  fleet::ServerPtr found = Servers.find(server);
  return Trackers.trackerOf(server,
                            found ? found->Entry.FailureDomain : std::string());
}

void LoadTracking::recordChange(const std::string &server) {
  if (!Active)
    return;
  Changed.insert(server);
  scheduleFlush();
}

void LoadTracking::recordPart(const std::string &server, PartSize part) {
  if (!Active)
    return;
  Parts[server].push_back(part);
  recordChange(server);
}

void LoadTracking::repeatShares() {
  Load.removeStale(MonoClock::now());
  for (const std::string &it : std::exchange(Reported, {}))
    recordChange(it);
}

/// Changes of one turn of the event loop are sent together.
void LoadTracking::scheduleFlush() {
  if (std::exchange(FlushScheduled, true))
    return;
  asio::post(Io, [this] {
    FlushScheduled = false;
    flush();
  });
}

void LoadTracking::flush() {
  ++Local.Sequence;
  std::map<http::Endpoint, messages::LoadShare> datagrams;
  for (const std::string &server : std::exchange(Changed, {})) {
    auto [it, isNew] = datagrams.try_emplace(trackerOf(server));
    messages::LoadShare &out = it->second;
    if (isNew)
      out = makeDatagram();
    out.set_incarnation(Local.Incarnation);
    out.set_sequence(Local.Sequence);
    fleet::WorkInFlight work;
    if (fleet::ServerPtr found = Servers.find(server))
      work = found->LocalWork;
    encodeShare(server, work, *out.add_tracked());
    if (work.Requests > 0)
      Reported.insert(server);
    for (const PartSize &part : Parts[server]) {
      messages::PartUse *use = out.add_parts();
      use->set_server(server);
      use->set_part(part.Id);
      use->set_tokens(static_cast<uint32_t>(part.Tokens));
    }
  }
  Parts.clear();
  for (const auto &[tracker, datagram] : datagrams) {
    if (tracker == Address)
      applyShares(datagram);
    else
      SendTo(datagram, tracker);
  }
}

void LoadTracking::applyShares(const messages::LoadShare &in) {
  MonoTime now = MonoClock::now();
  ShareOrigin origin{in.node(), in.incarnation(), in.sequence()};
  for (const messages::ServerShare &it : in.tracked())
    Load.update(origin, it.server(), decodeShare(it), now);
  for (const messages::PartUse &it : in.parts())
    if (fleet::ServerPtr server = Servers.find(it.server()))
      server->CachedParts.recordUse(it.part(), it.tokens(), now);
}

void LoadTracking::fillAnswer(const messages::LoadQuery &in,
                              const std::string &asker,
                              messages::LoadAnswer &out) {
  out.set_id(in.id());
  for (const std::string &server : in.servers()) {
    messages::ServerShare *share = out.add_servers();
    encodeShare(server, Load.totalWithout(server, asker), *share);
    fleet::ServerPtr found = Servers.find(server);
    uint32_t cached = 0;
    for (int i = 0; found && i < in.parts_size() && i < in.part_tokens_size();
         ++i) {
      if (!found->CachedParts.contains(in.parts(i)))
        break;
      cached += in.part_tokens(i);
    }
    share->set_cached_tokens(cached);
  }
}

void LoadTracking::applyAnswer(const messages::LoadAnswer &in) {
  auto it = Pending.find(in.id());
  if (it == Pending.end()) {
    Metrics.count("sardineford_load_answers_late_total", {});
    return;
  }
  PendingQuery &query = *it->second;
  for (const messages::ServerShare &share : in.servers())
    query.Answers.push_back(
        {share.server(), decodeShare(share), share.cached_tokens()});
  if (query.MissingTrackers > 0 && --query.MissingTrackers == 0)
    query.Done.cancel();
}

Awaitable<std::vector<TrackedAnswer>>
LoadTracking::query(std::vector<std::string> servers,
                    std::vector<PartSize> parts) {
  auto query = std::make_shared<PendingQuery>(Io);
  uint64_t id = ++NextQuery;
  std::map<http::Endpoint, messages::LoadQuery> queries;
  for (const std::string &server : servers)
    queries[trackerOf(server)].add_servers(server);
  Pending[id] = query;
  query->MissingTrackers = queries.size();
  for (auto &[tracker, it] : queries) {
    it.set_id(id);
    for (const PartSize &part : parts) {
      it.add_parts(part.Id);
      it.add_part_tokens(static_cast<uint32_t>(part.Tokens));
    }
    if (tracker == Address) {
      messages::LoadAnswer answer;
      fillAnswer(it, Local.Node, answer);
      applyAnswer(answer);
      continue;
    }
    messages::LoadShare datagram = makeDatagram();
    *datagram.mutable_query() = std::move(it);
    SendTo(datagram, tracker);
  }
  if (query->MissingTrackers > 0) {
    query->Done.expires_after(QueryTimeout);
    co_await query->Done.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  if (query->MissingTrackers > 0)
    Metrics.count("sardineford_load_answers_missing_total", {});
  Pending.erase(id);
  co_return std::move(query->Answers);
}

bool LoadTracking::handle(const messages::LoadShare &in,
                          const http::Endpoint &from) {
  if (in.has_query()) {
    messages::LoadShare datagram = makeDatagram();
    fillAnswer(in.query(), in.node(), *datagram.mutable_answer());
    SendTo(datagram, from);
    return true;
  }
  if (in.has_answer()) {
    applyAnswer(in.answer());
    return true;
  }
  if (in.tracked_size() == 0)
    return false;
  applyShares(in);
  return true;
}

} // namespace sardineford::peers
