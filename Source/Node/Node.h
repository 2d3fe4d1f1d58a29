#pragma once

#include "Node/Daemon.h"
#include "Sardineford/Exchange/Exchange.h"
#include "Sardineford/Http/Client.h"
#include "Sardineford/Http/Server.h"
#include "Sardineford/Membership/HttpInstanceList.h"
#include "Sardineford/Metrics/Metrics.h"
#include "Sardineford/Rpc/Rpc.h"
#include "Sardineford/Settings/Settings.h"
#include "Sardineford/Store/HttpObjectStore.h"
#include "Sardineford/Timeline/Recorder.h"

#include <functional>
#include <string>
#include <vector>

namespace sardineford::node {

/// What every process of the system has: its peers, its generation of the
/// configuration, the instance list, health checks and a graceful stop.
class Node {
public:
  Node(IoContext &io, const settings::Settings &s, bool isController);

  /// Serves paths that the node itself does not know.
  void serve(http::Handler handler, size_t maxBodyBytes);
  /// Binds the addresses and starts the loops.
  void start();
  /// Called once when a stop begins, before open requests are waited for.
  void onStop(std::function<void()> f) { Stopping = std::move(f); }
  /// Called when the instance list was read.
  void onInstances(std::function<void()> f) { ListRead = std::move(f); }
  /// Adds a condition for readiness.
  void addReadiness(std::function<bool()> f) { Conditions.push_back(f); }

  bool isReady() const;
  bool isStopping() const { return IsStopping; }
  const std::vector<membership::Instance> &instances() const { return List; }

  IoContext &Io;
  const settings::Settings &Options;
  std::string Name;
  std::string Incarnation;
  timeline::Recorder Recorder;
  metrics::Metrics Metrics;
  http::Client Client;
  store::HttpObjectStore Store;
  membership::HttpInstanceList Instances;
  rpc::Server RpcServer;
  rpc::Client RpcClient;
  exchange::Exchange Exchange;

private:
  Awaitable<void> handle(http::Request &request, http::ResponseWriter &out);
  Awaitable<void> firstGeneration();
  Awaitable<void> watchGeneration();
  Awaitable<void> readNewest();
  Awaitable<void> listLoop();
  Awaitable<void> readinessLoop();
  Awaitable<void> stopOnSignal();
  bool shouldWatch() const;
  bool isIsolated() const;
  http::Response setLogLevel(const http::Request &request);
  void registerGauges();

  http::Handler Other;
  std::unique_ptr<http::Server> HttpServer;
  std::vector<membership::Instance> List;
  std::vector<std::function<bool()>> Conditions;
  std::function<void()> Stopping;
  std::function<void()> ListRead;
  bool HasNewest = false;
  bool IsStopping = false;
};

} // namespace sardineford::node
