#pragma once

#include "Controller/PlanLease.h"
#include "Node/Node.h"

namespace sardineford::controller {

/// Publishes edits of objects as new generations while this process holds the
/// publisher lease. The lease only prevents duplicate work; the conditional
/// update of the generation pointer keeps the generations in order.
class Publisher {
public:
  explicit Publisher(node::Node &node);

  void start();
  const PlanLease &lease() const { return Lease; }

private:
  Awaitable<void> leaseLoop();
  Awaitable<void> publishLoop();
  Awaitable<void> watchKind(std::string kind);
  Awaitable<void> publishNow();

  node::Node &Node;
  PlanLease Lease;
  bool HasUnpublishedEdits = true;
  /// Cancelled when an edit is observed.
  boost::asio::steady_timer EditTimer;
};

} // namespace sardineford::controller
