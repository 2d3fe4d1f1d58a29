#pragma once

#include "Controller/PlanLease.h"
#include "Node/Node.h"

namespace sardineford::controller {

/// Publishes edits of objects as new generations while it holds the lease of
/// publishing. The lease only keeps others from doing the same work; what
/// keeps generations in order is the conditional update of the pointer.
class Publisher {
public:
  explicit Publisher(node::Node &node);

  void start();
  const PlanLease &lease() const { return Lease; }

private:
  Awaitable<void> leaseLoop();
  Awaitable<void> watchLoop();
  Awaitable<void> watchKind(std::string kind);
  Awaitable<void> publishNow();

  node::Node &Node;
  PlanLease Lease;
  /// Edits were seen that are not published yet.
  bool Pending = true;
  boost::asio::steady_timer Edited;
};

} // namespace sardineford::controller
