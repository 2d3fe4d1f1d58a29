#include "Sardineford/Http/CallerBounds.h"

#include <algorithm>

namespace sardineford::http {

namespace {

/// Part of the instance's memory for bodies and unread responses. The rest is
/// for the control plane (64 MB), responses of servers (MaxReceiveMemory) and
/// connections.
constexpr uint64_t BudgetDivisor = 4;
/// Part of the instance's memory for the reserves of connections.
constexpr uint64_t ConnectionsDivisor = 3;
/// Memory of a connection in the worst case: a read buffer of 18 KB, the
/// reserve, and the state of its coroutines.
constexpr uint64_t ConnectionCostBytes = uint64_t{32} * 1024;
/// A request takes up to two descriptors, of the caller and of the server.
constexpr uint64_t DescriptorsPerConnection = 2;

} // namespace

std::optional<size_t> callerMemoryLimit(uint64_t configured,
                                        InstanceSize instance) {
  if (configured > 0)
    return configured;
  if (instance.MemoryBytes > 0)
    return instance.MemoryBytes / BudgetDivisor;
  return std::nullopt;
}

std::optional<size_t> callerConnectionLimit(uint64_t configured,
                                            InstanceSize instance) {
  if (configured > 0)
    return configured;
  std::optional<size_t> out;
  if (instance.Descriptors > 0)
    out = instance.Descriptors / DescriptorsPerConnection;
  if (instance.MemoryBytes > 0) {
    size_t n = instance.MemoryBytes / ConnectionsDivisor / ConnectionCostBytes;
    out = std::min(out.value_or(n), n);
  }
  return out;
}

size_t nextBodyCapacity(size_t capacity, size_t needed, size_t announced) {
  if (needed <= capacity)
    return capacity;
  size_t grown = std::max(needed, capacity + capacity / 2);
  return announced >= needed ? std::min(grown, announced) : grown;
}

std::optional<size_t>
chooseConnectionToClose(const std::vector<ConnectionState> &all) {
  auto first = std::min_element(
      all.begin(), all.end(),
      [](const ConnectionState &a, const ConnectionState &b) {
        return a.Use != b.Use ? a.Use < b.Use : a.Since < b.Since;
      });
  if (first == all.end() || first->Use == ConnectionUse::Serving)
    return std::nullopt;
  return first - all.begin();
}

} // namespace sardineford::http
