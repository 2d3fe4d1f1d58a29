#pragma once

#include "Peers/TrackedLoad.h"
#include "Peers/TrackerMap.h"
#include "Sardineford/Common/Async.h"
#include "Sardineford/Fleet/Directory.h"
#include "Sardineford/Metrics/Metrics.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace sardineford::messages {
class LoadShare;
class LoadQuery;
class LoadAnswer;
} // namespace sardineford::messages

namespace sardineford::peers {

/// A prompt part and its size.
struct PartSize {
  uint64_t Id = 0;
  uint64_t Tokens = 0;
};

/// Work of the other processes at a server, as its tracker knows it.
struct TrackedAnswer {
  std::string Server;
  fleet::WorkInFlight Work;
  /// Tokens of the leading parts of the query that the server has cached.
  uint64_t CachedTokens = 0;
};

/// Knowledge of the load in a fleet that is too large for every process to
/// report to every other. Each backend server has one process as its tracker:
/// all processes send their changes there at once, and a process asks the
/// trackers of a few servers when it places a request. The datagrams of a
/// request do not grow with the fleet.
class LoadTracking {
public:
  using Send =
      std::function<void(const messages::LoadShare &, const http::Endpoint &)>;

  LoadTracking(IoContext &io, fleet::Directory &directory,
               metrics::Metrics &metrics, ShareOrigin local,
               http::Endpoint address, Send send);
  ~LoadTracking();

  /// Sets the running processes, including this one.
  void setProcesses(const std::vector<RunningProcess> &processes);
  /// Returns whether the fleet is so large that trackers are used.
  bool isActive() const { return Active; }
  /// Reports the local work at a server to its tracker.
  void recordChange(const std::string &server);
  /// Reports that a prompt part is now cached at a server.
  void recordPart(const std::string &server, PartSize part);
  /// Repeats the local shares, which trackers drop otherwise.
  void repeatShares();
  /// Asks the trackers of the servers. Returns the answers that arrive in time,
  /// in any order.
  Awaitable<std::vector<TrackedAnswer>> query(std::vector<std::string> servers,
                                              std::vector<PartSize> parts);
  /// Handles a datagram. Returns false if it is none of this class.
  bool handle(const messages::LoadShare &in, const http::Endpoint &from);

private:
  struct PendingQuery;

  const http::Endpoint &trackerOf(const std::string &server);
  void scheduleFlush();
  void flush();
  void applyShares(const messages::LoadShare &in);
  void fillAnswer(const messages::LoadQuery &in, const std::string &asker,
                  messages::LoadAnswer &out);
  void applyAnswer(const messages::LoadAnswer &in);
  /// Returns a datagram with the name of this process alone.
  messages::LoadShare makeDatagram() const;

  IoContext &Io;
  fleet::Directory &Servers;
  metrics::Metrics &Metrics;
  ShareOrigin Local;
  http::Endpoint Address;
  Send SendTo;
  TrackerMap Trackers;
  TrackedLoad Load;
  bool Active = false;
  bool FlushScheduled = false;
  /// Servers whose share has changed since the last flush.
  std::set<std::string> Changed;
  /// Servers that were reported since the last repetition. The end of work is
  /// repeated once as well.
  std::set<std::string> Reported;
  std::map<std::string, std::vector<PartSize>> Parts;
  std::map<uint64_t, std::shared_ptr<PendingQuery>> Pending;
  uint64_t NextQuery = 0;
};

} // namespace sardineford::peers
