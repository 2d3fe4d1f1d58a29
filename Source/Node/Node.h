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

/// The common part of every process of the system: peers, configuration
/// generation, instance list, health endpoints and graceful stop.
class Node {
public:
  Node(IoContext &io, const settings::Settings &s, bool isController);

  /// Sets the handler of all paths that this class does not serve itself.
  void serve(http::Handler handler, size_t maxBodyBytes);
  /// Binds the addresses and starts the loops.
  void start();
  /// Sets a listener that is called once when a stop begins, before the process
  /// waits for open requests.
  void onStop(std::function<void()> f) { OnStopBegun = std::move(f); }
  /// Sets a listener that is called after each read of the instance list.
  void onInstances(std::function<void()> f) {
    OnInstanceListRead = std::move(f);
  }
  /// Adds a condition that must hold for the process to be ready.
  void addReadiness(std::function<bool()> f) {
    ReadinessConditions.push_back(f);
  }

  bool isReady() const;
  bool isStopping() const { return IsStopping; }
  const std::vector<membership::Instance> &instances() const {
    return InstanceEntries;
  }

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
  Awaitable<void> loadFirstGeneration();
  Awaitable<void> watchGeneration();
  Awaitable<void> applyNewestGeneration();
  Awaitable<void> listLoop();
  Awaitable<void> readinessLoop();
  Awaitable<void> stopOnSignal();
  bool shouldWatch() const;
  bool isIsolated() const;
  http::Response setLogLevel(const http::Request &request);
  void registerGauges();

  http::Handler ApplicationHandler;
  std::unique_ptr<http::Server> HttpServer;
  std::vector<membership::Instance> InstanceEntries;
  std::vector<std::function<bool()>> ReadinessConditions;
  std::function<void()> OnStopBegun;
  std::function<void()> OnInstanceListRead;
  bool HasNewestGeneration = false;
  bool IsStopping = false;
};

} // namespace sardineford::node
