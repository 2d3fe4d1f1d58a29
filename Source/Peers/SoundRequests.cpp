#include "Peers/SoundRequests.h"

#include <algorithm>
#include <utility>

namespace sardineford::peers {

namespace {

constexpr std::chrono::seconds GenerationTime{30};
constexpr size_t MaxGenerationSize = 4'096;

} // namespace

void SoundRequests::record(fleet::SuspectKey key, MonoTime begin,
                           MonoTime now) {
  bool isFull = Current.size() >= MaxGenerationSize && !Current.contains(key);
  if (isFull || now - CurrentSince >= GenerationTime) {
    Previous = std::exchange(Current, {});
    CurrentSince = now;
  }
  MonoTime &last = Current[key];
  last = std::max(last, begin);
}

std::optional<MonoTime> SoundRequests::find(fleet::SuspectKey key) const {
  for (const Generation *it : {&Current, &Previous})
    if (auto found = it->find(key); found != it->end())
      return found->second;
  return std::nullopt;
}

} // namespace sardineford::peers
