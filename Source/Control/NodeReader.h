#pragma once

#include "Control/NodeStatus.h"
#include "Sardineford/Common/Async.h"
#include "Sardineford/Http/Client.h"

#include <functional>
#include <vector>

namespace sardineford::control {

/// Reads the metrics of many daemons, some at a time. Unreachable ones have an
/// error in their status. `onProgress` receives the number read so far.
Awaitable<std::vector<NodeStatus>>
readNodes(IoContext &io, http::Client &client,
          const std::vector<http::Endpoint> &nodes,
          std::function<void(size_t)> onProgress);

} // namespace sardineford::control
