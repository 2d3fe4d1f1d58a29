#pragma once

#include "Entry/ModelCall.h"
#include "Entry/OnceCalls.h"
#include "Entry/PoolTracker.h"
#include "Entry/ServiceCall.h"
#include "Node/Node.h"
#include "Sardineford/Engine/HttpEngineClient.h"

#include <map>
#include <memory>
#include <string>

namespace sardineford::entry {

/// The data path: takes requests of callers, admits, routes and answers them.
class Entry {
public:
  explicit Entry(node::Node &node);

  void start();

private:
  /// What is known of a request before it is admitted.
  struct Context {
    std::string RequestId;
    std::string Workspace;
    config::WorkspaceSpec Account;
    MonoTime Start{};
    MonoTime Deadline{};
  };

  Awaitable<void> handle(http::Request &request, http::ResponseWriter &out);
  Awaitable<void> dispatch(http::Request &request, http::ResponseWriter &out,
                           const Context &c);
  Awaitable<void> complete(http::Request &request, http::ResponseWriter &out,
                           const Context &c, bool isChat);
  Awaitable<void> runAdmitted(ModelRequest request, PoolTracker &pool,
                              http::ResponseWriter &out, const Context &c);
  Context makeContext(const http::Request &request) const;
  ModelRequest makeRequest(const http::Request &request, const Context &c,
                           bool isChat) const;
  http::Response listModels(const Context &c) const;
  PoolTracker &poolOf(const std::string &model);
  void startTrackers();
  /// Whether every pool and service has a known instance. The list of
  /// instances lags, so a process that has just started may know none.
  bool knowsBackends() const;
  void logRefusal(const routing::PoolView &view,
                  const std::optional<routing::Route> &route,
                  const ModelRequest &r) const;
  admission::Decision admit(const ModelRequest &r, PoolTracker &pool,
                            const Context &c);
  double expectedOutput(const std::string &model, uint64_t maxTokens) const;
  void learnOutput(const std::string &model, uint64_t maxTokens,
                   uint64_t tokens);
  void noteEnd(const ModelRequest &r, const Context &c,
               const std::string &outcome);

  node::Node &Node;
  MonoTime Started = MonoClock::now();
  engine::HttpEngineClient Engines;
  once::ObjectOnceStore OnceStore;
  OnceCalls Once;
  ServiceCalls Services;
  std::map<std::string, std::unique_ptr<PoolTracker>> Pools;
  /// Average share of max_tokens that answers of a model have.
  std::map<std::string, double> OutputShare;
};

} // namespace sardineford::entry
