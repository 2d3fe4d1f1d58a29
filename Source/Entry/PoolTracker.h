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

/// One attempt that this process sent, until it ends.
struct OwnAttempt {
  std::string Engine;
  uint64_t PrefillTokens = 0;
  MonoTime Sent{};
  bool Prefilled = false;
  /// Not at the engine yet: its prefill runs elsewhere.
  bool Pending = false;
};

/// Demand that this process saw since its last report.
struct PendingDemand {
  uint64_t Requests = 0;
  uint64_t PromptTokens = 0;
  double OutputTokens = 0;
  std::map<std::string, uint64_t> TokensByWorkspace;
  MonoTime Since = MonoClock::now();
};

/// What this process knows of one pool: the holder's last answer, its own
/// work that no report shows yet, and its own failures.
class PoolTracker {
public:
  PoolTracker(node::Node &node, std::string pool);

  /// The pool as routing needs it, without engines that must not be tried.
  routing::PoolView view(const std::vector<std::string> &without);
  routing::EngineSpeeds speeds() const;
  /// Whether any engine of the pool is known.
  bool hasEngines() const { return !Engines.empty(); }

  /// Notes an attempt; the handle removes it when it is destroyed.
  std::shared_ptr<OwnAttempt> begin(std::string engine, uint64_t tokens);
  void noteDemand(const std::string &workspace, uint64_t promptTokens,
                  double outputTokens, double cost);
  /// The limit of a workspace while the pool is short.
  admission::WorkspaceShare shareOf(const std::string &workspace) const;

  /// Whether an engine is being emptied, so that its streams should move.
  bool isEmptying(const std::string &engine) const;
  void engineFailed(const std::string &engine);
  void engineSucceeded(const std::string &engine);
  void engineIsLeaving(const std::string &engine);

  retry::Budget Retries;

  Awaitable<void> reportLoop();

private:
  Awaitable<void> report();
  std::string makeReport();
  void takeView(const std::string &body);
  void takeInstances();
  void addOwnWork(routing::EngineView &e) const;
  std::optional<http::Endpoint> holderAddress() const;

  node::Node &Node;
  std::string Pool;
  uint64_t Epoch = 0;
  uint64_t Nodes = 1;
  std::vector<routing::EngineView> Engines;
  MonoTime ViewTaken{};
  /// The holder's time of the newest view.
  timeline::HybridTime ViewTime;
  std::list<std::weak_ptr<OwnAttempt>> Own;
  retry::Ejector Ejections;
  PendingDemand Demand;
  std::map<std::string, admission::WorkspaceShare> Shares;
};

} // namespace sardineford::entry
