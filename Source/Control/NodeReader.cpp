#include "Control/NodeReader.h"

#include "Sardineford/Http/Status.h"

#include <algorithm>

namespace sardineford::control {

namespace {

/// A daemon answers within milliseconds unless it lacks processor time.
constexpr Milliseconds ReadTimeout{2'000};
/// Keeps the connections and the work of the reading process few.
constexpr size_t ConcurrentReads = 32;
constexpr Milliseconds DoneCheckInterval{5};

struct ReadState {
  std::vector<NodeStatus> Nodes;
  size_t Next = 0;
  size_t Done = 0;
};

Awaitable<NodeStatus> readNode(http::Client &client, http::Endpoint address) {
  http::Request request;
  request.Target = "/metrics";
  http::CallOptions options;
  options.ConnectTimeout = ReadTimeout;
  options.Timeout = ReadTimeout;
  NodeStatus out;
  out.Address = address;
  try {
    http::Response r = co_await client.call(address, request, options);
    if (r.Status == http::StatusOk)
      out = parseNodeStatus(address, r.Body);
    else
      out.Error = "status " + std::to_string(r.Status);
  } catch (const std::exception &e) {
    out.Error = e.what();
  }
  co_return out;
}

Awaitable<void> readNext(http::Client &client, ReadState &state,
                         std::function<void(size_t)> onProgress) {
  while (state.Next < state.Nodes.size()) {
    size_t i = state.Next++;
    state.Nodes[i] = co_await readNode(client, state.Nodes[i].Address);
    ++state.Done;
    onProgress(state.Done);
  }
}

} // namespace

Awaitable<std::vector<NodeStatus>>
readNodes(IoContext &io, http::Client &client,
          const std::vector<http::Endpoint> &nodes,
          std::function<void(size_t)> onProgress) {
  ReadState state;
  for (const http::Endpoint &it : nodes)
    state.Nodes.emplace_back().Address = it;
  for (size_t i = 0; i < std::min(ConcurrentReads, nodes.size()); ++i)
    spawn(io, "read-nodes", [&client, &state, onProgress] {
      return readNext(client, state, onProgress);
    });
  while (state.Done < state.Nodes.size())
    co_await sleepFor(DoneCheckInterval);
  co_return std::move(state.Nodes);
}

} // namespace sardineford::control
