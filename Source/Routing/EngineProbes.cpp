#include "Sardineford/Routing/EngineProbes.h"

#include <algorithm>

namespace sardineford::routing {

namespace {

/// Engines that a prompt part is kept at, so that others can take over while
/// the first is busy.
constexpr size_t PreferredProbes = 4;
constexpr size_t SameDomainProbes = 4;
constexpr size_t OtherProbes = 2;

/// Adds up to `count` engines of the pool that meet the condition and are not
/// chosen yet.
template <class F>
void addFrom(const std::vector<size_t> &pool, size_t count, F condition,
             std::vector<size_t> &out) {
  for (size_t it : pool) {
    if (count == 0)
      return;
    if (!condition(it) || std::find(out.begin(), out.end(), it) != out.end())
      continue;
    out.push_back(it);
    --count;
  }
}

std::vector<size_t> usableEngines(const std::vector<EngineCandidate> &engines,
                                  EngineRole role) {
  std::vector<size_t> out;
  for (size_t i = 0; i < engines.size(); ++i)
    if (engines[i].Role == role)
      out.push_back(i);
  bool hasUsable = std::any_of(out.begin(), out.end(),
                               [&](size_t i) { return !engines[i].Ejected; });
  if (hasUsable)
    std::erase_if(out, [&](size_t i) { return engines[i].Ejected; });
  return out;
}

} // namespace

std::vector<size_t> chooseProbes(const std::vector<EngineCandidate> &engines,
                                 const std::vector<size_t> &preferred,
                                 std::optional<EngineRole> role,
                                 std::mt19937_64 &random) {
  std::vector<size_t> out;
  for (EngineRole it : {EngineRole::Prefill, EngineRole::Decode}) {
    if (role && *role != it)
      continue;
    std::vector<size_t> pool = usableEngines(engines, it);
    std::shuffle(pool.begin(), pool.end(), random);
    auto isUsable = [&](size_t i) {
      return std::find(pool.begin(), pool.end(), i) != pool.end();
    };
    addFrom(preferred, PreferredProbes, isUsable, out);
    addFrom(
        pool, SameDomainProbes, [&](size_t i) { return engines[i].SameDomain; },
        out);
    addFrom(
        pool, OtherProbes, [](size_t) { return true; }, out);
  }
  return out;
}

} // namespace sardineford::routing
