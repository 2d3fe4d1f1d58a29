#pragma once

#include "Peers/OriginHandover.h"
#include "Peers/OriginHolders.h"
#include "Peers/OriginTable.h"
#include "Peers/VersionView.h"
#include "Sardineford/Common/Async.h"
#include "Sardineford/Metrics/Metrics.h"

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace sardineford::messages {
class LoadShare;
} // namespace sardineford::messages

namespace sardineford::peers {

/// The result of looking for the version that began a stream.
struct FoundOrigin {
  /// hashOfVersion of the version; empty if it is unknown.
  std::optional<uint32_t> Version;
  /// Processes that do not know the stream, and that did not answer in time.
  unsigned NotKnown = 0;
  unsigned Silent = 0;
  /// What the processes that answered know of the versions of the service;
  /// without those that cannot tell.
  std::vector<VersionView> PeerViews;
};

/// Knowledge of the software versions that began the streams of the fleet, so
/// that any process can find the version of a stream after the one that began
/// it has died. Each stream has a few processes as its holders, which are
/// chosen by its id. The datagrams of a stream do not grow with the fleet.
class StreamOrigins {
public:
  using Send =
      std::function<void(const messages::LoadShare &, const http::Endpoint &)>;
  /// Returns what this process knows of the versions of a service, known by its
  /// hashOfService; nothing while it cannot tell.
  using ViewSource =
      std::function<std::optional<VersionView>(uint64_t service)>;

  StreamOrigins(IoContext &io, metrics::Metrics &metrics,
                http::Endpoint address, Send send);
  ~StreamOrigins();

  /// Sets the source of what this process tells its peers of a service.
  void setViewSource(ViewSource f) { LocalView = std::move(f); }
  /// Sets the running processes, including this one. Records of those that have
  /// gone are given to the processes that hold them now; a process that has
  /// just started asks each of the others for the records that it is to hold.
  void setProcesses(const std::vector<RunningProcess> &processes);
  /// Records the version at which a stream begins or goes on, and sends the
  /// record at the end of this turn of the event loop. It is only kept if the
  /// service has one version.
  void record(std::string_view service, std::string_view streamId,
              std::string_view version, bool hasSeveralVersions);
  /// Drops the local record of a stream that has reached its end. Not to be
  /// called for a stream that broke, since its caller may come back.
  void forget(std::string_view service, std::string_view streamId);
  /// Sends the records of a service that were only kept, a few at a time.
  void publishAll(std::string_view service);
  /// Returns the hashOfVersion of a stream that this process knows.
  std::optional<uint32_t> findLocal(std::string_view service,
                                    std::string_view streamId) const;
  /// Looks for the version of a stream, here and then at its holders.
  Awaitable<FoundOrigin> find(std::string service, std::string streamId);
  /// Handles a datagram. Returns false if it is none of this class.
  bool handle(const messages::LoadShare &in, const http::Endpoint &from);

private:
  struct PendingQuery;
  struct Repetition {
    MonoTime Due;
    uint64_t Stream = 0;
  };

  Awaitable<void> askHolders(uint64_t service, uint64_t stream,
                             FoundOrigin &out);
  Awaitable<void> ask(PendingQuery &query, const messages::LoadShare &datagram,
                      std::vector<http::Endpoint> holders);
  std::optional<VersionView> viewOf(uint64_t service) const;
  void applyAnswer(const messages::LoadShare &in, const http::Endpoint &from);
  /// Queues the record of a stream for holders by their position.
  void queue(uint64_t stream, size_t firstHolder, size_t count);
  void sendAtOnce(uint64_t stream);
  void scheduleFlush();
  void flush();
  void scheduleRepetition();
  void repeatDue();
  void schedulePublishing();
  void scheduleHandover();
  /// Chooses records for processes that hold them now.
  void chooseDueHandovers(MonoTime now);
  void sendHandovers(MonoTime now);

  IoContext &Io;
  metrics::Metrics &Metrics;
  http::Endpoint Address;
  Send SendTo;
  ViewSource LocalView;
  std::vector<RunningProcess> Processes;
  std::vector<HashedProcess> Candidates;
  OriginTable Table;
  bool FlushScheduled = false;
  /// Records to send at the end of the turn, by holder.
  std::map<http::Endpoint, std::vector<OriginRecord>> Queued;
  std::deque<Repetition> Repetitions;
  boost::asio::steady_timer RepetitionTimer;
  bool RepetitionScheduled = false;
  std::deque<uint64_t> ToPublish;
  boost::asio::steady_timer PublishTimer;
  bool PublishScheduled = false;
  MonoTime StartedAt = MonoClock::now();
  /// Processes that were asked for records, and that are yet to be asked.
  std::set<http::Endpoint> Asked;
  std::deque<http::Endpoint> ToAsk;
  /// Processes that have gone since the records were last compared.
  std::map<http::Endpoint, HashedProcess> EndedPeers;
  MonoTime EndedAt{};
  /// Records that are being compared, and the processes before and after.
  std::deque<KnownOrigin> ToCompare;
  std::vector<HashedProcess> Before;
  std::vector<HashedProcess> After;
  /// Processes that have asked for records.
  std::map<http::Endpoint, HashedProcess> JoinedPeers;
  HandoverQueue Handovers;
  boost::asio::steady_timer HandoverTimer;
  bool HandoverScheduled = false;
  std::map<uint64_t, std::shared_ptr<PendingQuery>> Pending;
  uint64_t NextQuery = 0;
};

} // namespace sardineford::peers
