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

/// The data path: admits and routes requests of callers and sends responses.
class Entry {
public:
  explicit Entry(node::Node &node);

  void start();

private:
  /// Properties of a request that are known before its admission.
  struct Context {
    std::string RequestId;
    std::string Workspace;
    config::WorkspaceSpec Spec;
    MonoTime Start{};
    MonoTime Deadline{};
  };

  Awaitable<void> handle(http::Request &request, http::ResponseWriter &out);
  Awaitable<void> dispatch(http::Request &request, http::ResponseWriter &out,
                           const Context &context);
  Awaitable<void> handleCompletion(http::Request &request,
                                   http::ResponseWriter &out,
                                   const Context &context, bool isChat);
  Awaitable<void> executeAdmitted(ModelRequest request, PoolTracker &pool,
                                  http::ResponseWriter &out,
                                  const Context &context);
  Context makeContext(const http::Request &request) const;
  ModelRequest makeRequest(const http::Request &request, const Context &context,
                           bool isChat) const;
  http::Response listModels(const Context &context) const;
  PoolTracker &poolOf(const std::string &model);
  void startTrackers();
  /// Returns whether every pool and service has a known instance. The instance
  /// list arrives with a delay, so it can be empty right after the start.
  bool hasAllBackends() const;
  void logRejection(const routing::PoolView &view,
                    const std::optional<routing::Route> &route,
                    const ModelRequest &r) const;
  admission::Decision admit(const ModelRequest &r, PoolTracker &pool,
                            const Context &context);
  double expectedOutput(const std::string &model, uint64_t maxTokens) const;
  void updateOutputRatio(const std::string &model, uint64_t maxTokens,
                         uint64_t tokens);
  void recordOutcome(const ModelRequest &r, const Context &context,
                     const std::string &outcome);

  node::Node &Node;
  MonoTime Started = MonoClock::now();
  engine::HttpEngineClient Engines;
  once::ObjectOnceStore OnceStore;
  OnceCalls Once;
  ServiceCalls Services;
  std::map<std::string, std::unique_ptr<PoolTracker>> Pools;
  /// Exponential moving average of the ratio of output tokens to max_tokens, by
  /// model.
  std::map<std::string, double> OutputRatio;
};

} // namespace sardineford::entry
