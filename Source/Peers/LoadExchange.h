#pragma once

#include "Duties/OrderPlan.h"
#include "Fleet/WatchDuty.h"
#include "Peers/Findings.h"
#include "Peers/LoadTracking.h"
#include "Peers/PeerSet.h"
#include "Peers/RunningProcess.h"
#include "Peers/StreamOrigins.h"
#include "Sardineford/Duties/Usage.h"
#include "Sardineford/Fleet/Directory.h"
#include "Sardineford/Fleet/StoreView.h"
#include "Sardineford/Metrics/Metrics.h"
#include "Sardineford/Peers/LoadView.h"
#include "Sardineford/Store/ObjectStore.h"

#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sardineford::messages {
class LoadShare;
} // namespace sardineford::messages

namespace sardineford::peers {

/// Publishes the work that this process has in flight at each backend server to
/// its peers and receives theirs. The processes discover each other in the
/// platform's store. Reports are sent as datagrams, since only the newest
/// counts. In a large fleet, reports only show that a process runs and what it
/// knows of the store, and the work goes to the trackers of the servers.
class LoadExchange {
public:
  LoadExchange(IoContext &io, store::ObjectStore &store, std::string node,
               RunningProcess local, fleet::Directory &directory,
               metrics::Metrics &metrics);
  ~LoadExchange();

  void start();
  /// Registers this process again, after a restore of the store from a copy
  /// that may lack it. The processes of a fleet do so one after another.
  void registerAgain();
  /// Stops sending and receiving. The peers count this process as gone after
  /// some time.
  void stop();
  /// Returns the number of processes in the exchange, including this one.
  unsigned processes() const;
  /// Returns whether the store is known to have held no entry of this instance
  /// when the process started.
  bool isFirstStart() const { return HadEntry == false; }
  /// Returns the addresses of the other processes that run.
  std::vector<http::Endpoint> runningPeers() const;
  /// Returns the number of processes that may exist, also silent ones; nothing
  /// until the list of processes has been read.
  std::optional<unsigned> members() const;
  /// Publishes that a prompt part is now cached at a server.
  void publishPart(const std::string &server, uint64_t part, uint64_t tokens);
  LoadTracking &tracking() { return Tracking; }
  StreamOrigins &origins() { return Origins; }
  Findings &findings() { return LearnedFindings; }
  /// Returns the position of this process among the running ones; empty until
  /// the list of the processes is read.
  std::optional<fleet::FleetPosition> position() const {
    return MembersReadAt == MonoTime{} ? std::nullopt
                                       : std::make_optional(Position);
  }
  /// Returns the first processes in the order of the fleet, with this one if it
  /// is among them.
  std::vector<http::Endpoint> firstProcesses(size_t count) const;
  /// Sends counts of this process to other processes, in one datagram.
  void publishUsage(const std::vector<duties::WindowCount> &counts,
                    const std::vector<http::Endpoint> &to);
  /// Sets the function that receives the counts of peers.
  using UsageReceiver =
      std::function<void(const std::string &incarnation,
                         const std::vector<duties::WindowCount> &counts)>;
  void onUsage(UsageReceiver f) { OnUsage = std::move(f); }
  /// Sends the work of this process to other processes, in one datagram.
  void publishWork(const std::vector<duties::ServiceWork> &work,
                   const std::vector<http::Endpoint> &to);
  using WorkReceiver =
      std::function<void(const std::string &incarnation,
                         const std::vector<duties::ServiceWork> &work)>;
  /// Sets the function that receives the work of peers.
  void onWork(WorkReceiver f) { OnWork = std::move(f); }
  const std::string &incarnation() const { return Incarnation; }
  /// Sends changes in the store to all peers, in two steps as reports. A lost
  /// datagram shows in the digests of the reports, and so does an object that
  /// is too large for a datagram.
  void publishChanges(const fleet::PublishedChanges &changes);
  /// Sets the function that receives the changes that peers publish. It returns
  /// whether any was news.
  void onChanges(std::function<bool(const fleet::PublishedChanges &)> f) {
    OnChanges = std::move(f);
  }
  /// Sends a record that this process has written to all peers, in two steps as
  /// reports.
  void publishVersionRecord(const fleet::VersionRecord &record);
  /// Sets the function that receives the records that peers have written.
  void onVersionRecord(std::function<void(const fleet::VersionRecord &)> f) {
    OnVersionRecord = std::move(f);
  }
  /// Sets the source of the local store view that is published, and the
  /// function that receives the views of peers.
  void
  exchangeStoreViews(std::function<fleet::StoreView()> localView,
                     std::function<void(const fleet::StoreView &)> onPeerView) {
    LocalView = std::move(localView);
    OnPeerView = std::move(onPeerView);
  }
  /// Sets the function to call when the number of processes may have changed.
  void onPeersChanged(std::function<void()> f) {
    OnPeersChanged = std::move(f);
  }

private:
  Awaitable<void> membershipLoop();
  Awaitable<void> registerProcess();
  Awaitable<void> registerAgainSoon();
  Awaitable<void> readMembers();
  Milliseconds listInterval() const;
  Awaitable<void> sendLoop();
  Awaitable<void> receiveLoop();
  /// Updates the local report. Returns false if the report is not due yet.
  bool updateReport();
  void sendReport(const std::vector<http::Endpoint> &to);
  /// Sends which processes of the local group run, with the reports of those
  /// that watch the store.
  void sendRelay(const std::vector<http::Endpoint> &to);
  void send(std::string_view kind, const std::string &bytes,
            const std::vector<http::Endpoint> &to);
  /// Sends a datagram to the recipients of reports and relays. Those of the
  /// local group pass it on to the others.
  void sendToAll(std::string_view kind, const messages::LoadShare &datagram);
  void handleDatagram(std::string_view bytes, const http::Endpoint &from);
  void relayFindings(const messages::LoadShare &in, const http::Endpoint &from);
  void applyVersionRecord(const messages::LoadShare &in,
                          const http::Endpoint &from);
  void applyReport(const messages::LoadShare &in, const http::Endpoint &from);
  void applyRelay(const messages::LoadShare &in);
  void queueForRelay(const messages::LoadShare &in, const http::Endpoint &from);
  Milliseconds sendInterval(const PeerSet::Recipients &to) const;
  void updatePosition();
  void applyUsage(const messages::LoadShare &in);
  void applyWork(const messages::LoadShare &in);
  /// Sends a datagram of the duties.
  void sendToContenders(std::string_view kind, messages::LoadShare datagram,
                        const std::vector<http::Endpoint> &to);
  void applyChanges(const messages::LoadShare &in, const http::Endpoint &from);
  void updateAllPeerWork();
  void updateChangedPeerWork();

  IoContext &Io;
  store::ObjectStore &Store;
  std::string Node;
  std::string Incarnation;
  RunningProcess Local;
  /// An earlier process of this instance has written its entry; empty while
  /// that is not known.
  std::optional<bool> HadEntry;
  fleet::Directory &Servers;
  metrics::Metrics &Metrics;
  boost::asio::ip::udp::socket Socket;
  std::function<void()> OnPeersChanged;
  std::function<fleet::StoreView()> LocalView;
  std::function<void(const fleet::StoreView &)> OnPeerView;
  std::function<bool(const fleet::PublishedChanges &)> OnChanges;
  std::function<void(const fleet::VersionRecord &)> OnVersionRecord;
  UsageReceiver OnUsage;
  WorkReceiver OnWork;
  LoadView View;
  PeerSet Peers;
  LoadTracking Tracking;
  StreamOrigins Origins;
  Findings LearnedFindings;
  MonoTime SharesRepeatedAt{};
  /// Recipients of the last reports.
  PeerSet::Recipients LastRecipients;
  MonoTime RelayedAt{};
  fleet::FleetPosition Position;
  /// Processes that the position was computed for.
  std::vector<http::Endpoint> RankedProcesses;
  /// Processes of the local group and the times of their last reports.
  std::map<RunningProcess, MonoTime> GroupReports;
  /// Newest reports of the local group that are not relayed yet, by process.
  std::map<std::string, std::unique_ptr<messages::LoadShare>> ToRelay;
  /// Peers that requested a report.
  std::vector<http::Endpoint> ReplyTo;
  uint64_t Sequence = 0;
  struct PartUse {
    std::string Server;
    uint64_t Part = 0;
    uint64_t Tokens = 0;
    int SendsRemaining = 0;
  };

  std::vector<PartUse> Parts;
  std::unique_ptr<messages::LoadShare> LocalReport;
  /// Serialized local report without the sequence, as sent last.
  std::string LastSent;
  MonoTime LastSentAt{};
  bool Registered = false;
  MonoTime MembersReadAt{};
};

} // namespace sardineford::peers
