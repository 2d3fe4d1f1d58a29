#pragma once

#include "Node/Node.h"
#include "Sardineford/Admission/Admission.h"
#include "Sardineford/Retry/Retry.h"
#include "Sardineford/Routing/Route.h"

#include <list>
#include <map>
#include <memory>
#include <string>

namespace sardineford::entry {

/// A running attempt of this process.
struct LocalAttempt {
  std::string Engine;
  uint64_t PrefillTokens = 0;
  MonoTime SentAt{};
  bool Prefilled = false;
  /// The engine has not received the attempt yet: a separate prefill runs at
  /// another engine.
  bool Pending = false;
};

/// Demand on this process since its last report.
struct UnreportedDemand {
  uint64_t Requests = 0;
  uint64_t PromptTokens = 0;
  double OutputTokens = 0;
  std::map<std::string, uint64_t> TokensByWorkspace;
  MonoTime Since = MonoClock::now();
};

/// State of one pool in this process: the view last received from the holder of
/// the pool, local attempts that this view does not include yet, and failures
/// of local attempts.
class PoolTracker {
public:
  PoolTracker(node::Node &node, std::string pool);

  /// Returns the input of routing. The given engines are marked as ejected.
  routing::PoolView view(const std::vector<std::string> &excluded);
  routing::EngineSpeeds speeds() const;
  bool hasEngines() const { return !Engines.empty(); }

  /// Registers an attempt until the returned handle is destroyed.
  std::shared_ptr<LocalAttempt> beginAttempt(std::string engine,
                                             uint64_t tokens);
  void recordDemand(const std::string &workspace, uint64_t promptTokens,
                    double outputTokens, double cost);
  /// Returns the token rate limit of a workspace. The limit applies while the
  /// pool is overloaded.
  admission::WorkspaceShare shareOf(const std::string &workspace) const;

  /// Returns whether the streams of an engine should move to other engines.
  bool isDrainingOrLeaving(const std::string &engine) const;
  void recordEngineFailure(const std::string &engine);
  void recordEngineSuccess(const std::string &engine);
  void markEngineLeaving(const std::string &engine);

  retry::Budget Retries;

  Awaitable<void> reportLoop();

private:
  Awaitable<void> report();
  std::string makeReport();
  void applyView(const std::string &body);
  void applyInstanceList();
  void addLocalWork(routing::EngineView &e) const;
  std::optional<http::Endpoint> holderAddress() const;

  node::Node &Node;
  std::string Pool;
  uint64_t Epoch = 0;
  /// Number of processes that report to the holder.
  uint64_t Processes = 1;
  std::vector<routing::EngineView> Engines;
  MonoTime ViewReceivedAt{};
  /// Time of the newest view by the clock of the holder.
  timeline::HybridTime ViewTime;
  std::list<std::weak_ptr<LocalAttempt>> LocalAttempts;
  retry::Ejector Ejections;
  UnreportedDemand Demand;
  std::map<std::string, admission::WorkspaceShare> Shares;
};

} // namespace sardineford::entry
