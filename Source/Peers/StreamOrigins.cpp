#include "Peers/StreamOrigins.h"

#include "Messages/Messages.pb.h"
#include "Peers/HandoverLimits.h"
#include "Peers/OriginCodec.h"
#include "Sardineford/Fleet/Directory.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <set>
#include <span>
#include <utility>

namespace sardineford::peers {

namespace asio = boost::asio;

namespace {

/// A few round trips between failure domains, and the time that a busy process
/// takes for its other work.
constexpr Milliseconds QueryTimeout{25};
/// A burst of lost datagrams is over, and the shortest streams have ended.
constexpr Milliseconds RepeatDelay{75};
/// Repetitions that are due within this time are sent together.
constexpr Milliseconds RepeatGrouping{10};
/// Fits into one packet of the network.
constexpr size_t MaxRecordsPerDatagram = 100;
/// Streams whose records are sent together when a second version appears.
constexpr size_t PublishedAtOnce = 32;
constexpr Milliseconds PublishInterval{20};
/// Processes that die together are noticed within this time.
constexpr Milliseconds DeathGrouping{100};
/// Headers of IP and UDP.
constexpr size_t HeaderBytes = 28;

} // namespace

struct StreamOrigins::PendingQuery {
  explicit PendingQuery(IoContext &io) : Done(io) {}

  std::optional<uint32_t> Version;
  unsigned NotKnown = 0;
  std::vector<VersionView> PeerViews;
  /// Processes that were asked and have not answered.
  std::set<http::Endpoint> Silent;
  asio::steady_timer Done;
};

StreamOrigins::StreamOrigins(IoContext &io, metrics::Metrics &metrics,
                             http::Endpoint address, Send send)
    : Io(io), Metrics(metrics), Address(std::move(address)),
      SendTo(std::move(send)), RepetitionTimer(io), PublishTimer(io),
      HandoverTimer(io) {}

StreamOrigins::~StreamOrigins() = default;

void StreamOrigins::setProcesses(const std::vector<RunningProcess> &processes) {
  if (processes == Processes)
    return;
  MonoTime now = MonoClock::now();
  std::set<http::Endpoint> running;
  for (const RunningProcess &it : processes) {
    running.insert(it.Address);
    EndedPeers.erase(it.Address);
    bool isNew = now - StartedAt <= fleet::StreamMemory;
    if (isNew && it.Address != Address && Asked.insert(it.Address).second)
      ToAsk.push_back(it.Address);
  }
  for (const HashedProcess &it : Candidates)
    if (!running.contains(it.Process.Address)) {
      if (EndedPeers.empty())
        EndedAt = now;
      EndedPeers[it.Process.Address] = it;
    }
  Processes = processes;
  Candidates = hashProcesses(processes);
  scheduleHandover();
}

void StreamOrigins::scheduleHandover() {
  bool isIdle = ToAsk.empty() && EndedPeers.empty() && ToCompare.empty() &&
                JoinedPeers.empty() && Handovers.empty();
  if (isIdle || std::exchange(HandoverScheduled, true))
    return;
  HandoverTimer.expires_after(HandoverInterval);
  HandoverTimer.async_wait([this](boost::system::error_code ec) {
    if (ec)
      return;
    HandoverScheduled = false;
    MonoTime now = MonoClock::now();
    chooseDueHandovers(now);
    sendHandovers(now);
    scheduleHandover();
  });
}

void StreamOrigins::chooseDueHandovers(MonoTime now) {
  std::vector<KnownOrigin> recent;
  if (!JoinedPeers.empty())
    recent = Table.recentRecords(fleet::StreamMemory, now);
  for (size_t i = 0; i < JoinedAtOnce && !JoinedPeers.empty(); ++i) {
    HashedProcess joined = JoinedPeers.begin()->second;
    JoinedPeers.erase(JoinedPeers.begin());
    std::vector<HashedProcess> processes = Candidates;
    std::erase_if(processes, [&](const HashedProcess &it) {
      return it.Process.Address == joined.Process.Address;
    });
    processes.push_back(joined);
    for (const KnownOrigin &it : chooseRecordsFor(joined, recent, processes))
      Handovers.push(joined.Process.Address, it);
  }
  if (ToCompare.empty() && !EndedPeers.empty() &&
      now - EndedAt >= DeathGrouping) {
    std::vector<KnownOrigin> records =
        Table.recentRecords(fleet::StreamMemory, now);
    ToCompare.assign(records.begin(), records.end());
    After = Candidates;
    Before = Candidates;
    for (const auto &[endpoint, process] : std::exchange(EndedPeers, {}))
      Before.push_back(process);
  }
  size_t n = std::min(ComparedAtOnce, ToCompare.size());
  auto end = ToCompare.begin() + static_cast<ptrdiff_t>(n);
  std::vector<KnownOrigin> records(ToCompare.begin(), end);
  ToCompare.erase(ToCompare.begin(), end);
  for (const Handover &it : chooseHandovers(records, Before, After, Address))
    Handovers.push(it.To, it.Record);
}

void StreamOrigins::sendHandovers(MonoTime now) {
  auto send = [this](const messages::LoadShare &datagram,
                     const http::Endpoint &to) {
    Handovers.countSent(datagram.ByteSizeLong() + HeaderBytes);
    SendTo(datagram, to);
  };
  for (size_t i = 0; i < HandoversAtOnce && Handovers.maySend(now); ++i) {
    if (!ToAsk.empty()) {
      auto local = std::find_if(
          Processes.begin(), Processes.end(),
          [&](const RunningProcess &it) { return it.Address == Address; });
      send(encodeRecordsRequest(
               local == Processes.end() ? "" : local->FailureDomain),
           ToAsk.front());
      ToAsk.pop_front();
    } else if (!Handovers.empty()) {
      auto [to, records] = Handovers.take(RecordsPerHandover);
      Metrics.count("sardineford_stream_origins_handed_over_total", {},
                    static_cast<double>(records.size()));
      send(encodeHandover(records, now), to);
    }
  }
}

void StreamOrigins::record(std::string_view service, std::string_view streamId,
                           std::string_view version, bool hasSeveralVersions) {
  uint64_t stream = hashOfStream(service, streamId);
  Table.putLocal({stream, hashOfVersion(version)}, hashOfService(service),
                 MonoClock::now());
  if (!hasSeveralVersions)
    return;
  Table.setSent(stream);
  sendAtOnce(stream);
}

void StreamOrigins::forget(std::string_view service,
                           std::string_view streamId) {
  Table.erase(hashOfStream(service, streamId));
}

void StreamOrigins::publishAll(std::string_view service) {
  for (uint64_t it : Table.takeUnsent(hashOfService(service), MonoClock::now()))
    ToPublish.push_back(it);
  schedulePublishing();
}

void StreamOrigins::schedulePublishing() {
  if (ToPublish.empty() || std::exchange(PublishScheduled, true))
    return;
  PublishTimer.expires_after(PublishInterval);
  PublishTimer.async_wait([this](boost::system::error_code ec) {
    if (ec)
      return;
    PublishScheduled = false;
    for (size_t i = 0; i < PublishedAtOnce && !ToPublish.empty(); ++i) {
      sendAtOnce(ToPublish.front());
      ToPublish.pop_front();
    }
    schedulePublishing();
  });
}

void StreamOrigins::sendAtOnce(uint64_t stream) {
  queue(stream, 0, HoldersAtOnce);
  Repetitions.push_back({MonoClock::now() + RepeatDelay, stream});
  scheduleRepetition();
}

void StreamOrigins::queue(uint64_t stream, size_t firstHolder, size_t count) {
  std::optional<uint32_t> version = Table.find(stream, MonoClock::now());
  std::vector<http::Endpoint> holders =
      chooseHolders(stream, Candidates, Address);
  if (!version || holders.empty())
    return;
  // In the smallest fleets, the first holders receive the repetition too.
  for (size_t i = firstHolder; i < firstHolder + count; ++i) {
    std::vector<OriginRecord> &out = Queued[holders[i % holders.size()]];
    OriginRecord record{stream, *version};
    if (out.empty() || out.back() != record)
      out.push_back(record);
  }
  scheduleFlush();
}

/// Records of one turn of the event loop are sent together.
void StreamOrigins::scheduleFlush() {
  if (std::exchange(FlushScheduled, true))
    return;
  asio::post(Io, [this] {
    FlushScheduled = false;
    flush();
  });
}

void StreamOrigins::flush() {
  for (const auto &[holder, records] : std::exchange(Queued, {})) {
    std::span<const OriginRecord> rest = records;
    while (!rest.empty()) {
      size_t n = std::min(rest.size(), MaxRecordsPerDatagram);
      SendTo(encodeOrigins(rest.first(n)), holder);
      rest = rest.subspan(n);
    }
  }
}

void StreamOrigins::scheduleRepetition() {
  if (Repetitions.empty() || std::exchange(RepetitionScheduled, true))
    return;
  RepetitionTimer.expires_at(Repetitions.front().Due);
  RepetitionTimer.async_wait([this](boost::system::error_code ec) {
    if (ec)
      return;
    RepetitionScheduled = false;
    repeatDue();
    scheduleRepetition();
  });
}

void StreamOrigins::repeatDue() {
  MonoTime end = MonoClock::now() + RepeatGrouping;
  while (!Repetitions.empty() && Repetitions.front().Due <= end) {
    queue(Repetitions.front().Stream, HoldersAtOnce,
          HoldersPerStream - HoldersAtOnce);
    Repetitions.pop_front();
  }
}

std::optional<uint32_t>
StreamOrigins::findLocal(std::string_view service,
                         std::string_view streamId) const {
  return Table.find(hashOfStream(service, streamId), MonoClock::now());
}

Awaitable<FoundOrigin> StreamOrigins::find(std::string service,
                                           std::string streamId) {
  uint64_t stream = hashOfStream(service, streamId);
  FoundOrigin out;
  out.Version = Table.find(stream, MonoClock::now());
  std::string outcome = "local";
  if (!out.Version) {
    co_await askHolders(hashOfService(service), stream, out);
    outcome = out.Version ? "found" : "unknown";
  }
  Metrics.count("sardineford_stream_origins_total", {{"outcome", outcome}});
  co_return out;
}

Awaitable<void> StreamOrigins::askHolders(uint64_t service, uint64_t stream,
                                          FoundOrigin &out) {
  std::vector<http::Endpoint> holders =
      chooseHolders(stream, Candidates, Address);
  size_t n = std::min(AskedFirst, holders.size());
  auto end = holders.begin() + static_cast<ptrdiff_t>(n);
  std::vector<http::Endpoint> first(holders.begin(), end);
  std::vector<http::Endpoint> further(end, holders.end());
  uint64_t id = ++NextQuery;
  auto query = std::make_shared<PendingQuery>(Io);
  Pending[id] = query;
  messages::LoadShare datagram = encodeOriginQuery(id, service, stream);
  co_await ask(*query, datagram, std::move(first));
  bool isVersionKnown =
      query->Version || (query->PeerViews.size() >= n &&
                         isOnlyVersion(viewOf(service).value_or(VersionView{}),
                                       query->PeerViews));
  if (!isVersionKnown) {
    // The question or its answer may have been lost.
    further.insert(further.end(), query->Silent.begin(), query->Silent.end());
    co_await ask(*query, datagram, std::move(further));
  }
  Pending.erase(id);
  out.Version = query->Version;
  out.NotKnown = query->NotKnown;
  out.Silent = static_cast<unsigned>(query->Silent.size());
  out.PeerViews = std::move(query->PeerViews);
}

Awaitable<void> StreamOrigins::ask(PendingQuery &query,
                                   const messages::LoadShare &datagram,
                                   std::vector<http::Endpoint> holders) {
  if (holders.empty())
    co_return;
  query.Silent.insert(holders.begin(), holders.end());
  query.Done.expires_after(QueryTimeout);
  for (const http::Endpoint &it : holders)
    SendTo(datagram, it);
  if (!query.Version && !query.Silent.empty())
    co_await query.Done.async_wait(asio::as_tuple(asio::use_awaitable));
}

std::optional<VersionView> StreamOrigins::viewOf(uint64_t service) const {
  return service != 0 && LocalView ? LocalView(service) : std::nullopt;
}

void StreamOrigins::applyAnswer(const messages::LoadShare &in,
                                const http::Endpoint &from) {
  auto it = Pending.find(in.origins().answer());
  if (it == Pending.end())
    return;
  PendingQuery &query = *it->second;
  if (query.Silent.erase(from) == 0)
    return;
  if (std::optional<VersionView> view = decodeVersionView(in))
    query.PeerViews.push_back(*view);
  if (in.origins().versions_size() > 0)
    query.Version = in.origins().versions(0);
  else
    ++query.NotKnown;
  if (query.Version || query.Silent.empty())
    query.Done.cancel();
}

bool StreamOrigins::handle(const messages::LoadShare &in,
                           const http::Endpoint &from) {
  if (!in.has_origins())
    return false;
  MonoTime now = MonoClock::now();
  if (in.origins().wants_records()) {
    JoinedPeers[from] = hashProcess({in.failure_domain(), from});
    scheduleHandover();
  } else if (in.origins().answer() != 0) {
    applyAnswer(in, from);
  } else if (in.origins().query() != 0) {
    std::optional<uint32_t> version;
    if (in.origins().streams_size() > 0)
      version = Table.find(in.origins().streams(0), now);
    SendTo(encodeOriginAnswer(in.origins().query(), version,
                              viewOf(in.origins().service())),
           from);
  } else if (in.origins().ages_s_size() > 0) {
    for (const KnownOrigin &it : decodeHandover(in, now))
      Table.putHandedOver(it, now);
  } else {
    for (const OriginRecord &it : decodeOrigins(in))
      Table.putHeld(it, now);
  }
  return true;
}

} // namespace sardineford::peers
