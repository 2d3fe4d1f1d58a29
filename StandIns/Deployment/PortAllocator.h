#pragma once

#include "Sardineford/Http/Message.h"

#include <cstdint>

namespace sardineford::standins {

/// Gives out loopback ports to the processes of a deployment.
class PortAllocator {
public:
  /// The search begins at a place that depends on `start`.
  explicit PortAllocator(uint32_t start);

  /// Returns an endpoint whose port is free for TCP and UDP.
  http::Endpoint next();

private:
  uint32_t Next;
};

} // namespace sardineford::standins
