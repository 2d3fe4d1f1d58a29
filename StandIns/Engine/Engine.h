#pragma once

#include "Sardineford/Http/Client.h"
#include "Sardineford/Http/Server.h"
#include "Sardineford/Timeline/Recorder.h"
#include "StandIns/Engine/Batch.h"

#include <boost/json/object.hpp>

#include <deque>
#include <random>
#include <set>

namespace sardineford::standins {

struct EngineOptions {
  std::string Name;
  http::Endpoint Listen;
  EngineRole InitialRole = EngineRole::Mixed;
  /// Rejects an order whose fencing number is lower than the highest received.
  bool CheckFencing = true;
  double TimeScale = 1;
  /// Age of the load in a report.
  Milliseconds ReportLag{200};
  Milliseconds RoleChangeTime{4'000};
  /// Duration of orders other than role changes.
  Milliseconds DefaultOrderTime{2'000};
  EngineSpeed Speed;
};

/// Stand-in for a model engine.
class Engine {
public:
  Engine(IoContext &io, EngineOptions options, timeline::Recorder &recorder);

  void start();

private:
  struct Snapshot {
    MonoTime TakenAt;
    std::string Report;
  };

  Awaitable<void> handle(http::Request &request, http::ResponseWriter &out);
  Awaitable<void> generate(const http::Request &request,
                           http::ResponseWriter &out);
  Awaitable<void> prefill(const http::Request &request,
                          http::ResponseWriter &out);
  Awaitable<void> resume(const http::Request &request,
                         http::ResponseWriter &out);
  Awaitable<void> stream(SequencePtr s, uint64_t from,
                         http::ResponseWriter &out);
  Awaitable<http::Response> exportStream(const http::Request &request);
  Awaitable<bool> importKv(const boost::json::object &source, SequencePtr s);
  Awaitable<http::Response> order(const http::Request &request);
  Awaitable<void> runOrder(std::string kind, std::string role);
  http::Response exportKv(std::string_view handle);
  http::Response cancel(const http::Request &request);
  http::Response admin(const http::Request &request);
  std::string makeReport() const;
  http::Response delayedReport() const;
  Awaitable<void> takeSnapshots();
  SequencePtr makeSequence(const boost::json::object &body);
  std::optional<http::Response> rejection() const;
  void recordEvent(timeline::EventKind kind, const SequencePtr &s,
                   std::string detail = "");

  IoContext &Io;
  EngineOptions Options;
  timeline::Recorder &Recorder;
  http::Client Client;
  http::Server Listener;
  Batch ActiveBatch;
  std::string Incarnation;
  std::deque<Snapshot> Snapshots;
  /// Sequences by handle, kept until another engine fetches their key-value
  /// cache.
  std::map<std::string, SequencePtr> ExportedKv;
  uint64_t HighestEpoch = 0;
  bool OrderRunning = false;
  /// Ids of finished orders, newest last.
  std::deque<std::string> EndedOrders;
  bool Leaving = false;
  bool CrashInOrder = false;
  /// Delay before a received order is processed, to simulate a slow network.
  Milliseconds OrderDelay{0};
};

/// Name of a role on the wire.
std::string_view toString(EngineRole r);
EngineRole parseEngineRole(std::string_view text);

} // namespace sardineford::standins
