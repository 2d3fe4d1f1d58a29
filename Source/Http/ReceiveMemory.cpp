#include "Sardineford/Http/ReceiveMemory.h"

#include "Sardineford/Common/Log.h"

#include <algorithm>
#include <numeric>

namespace sardineford::http {

std::optional<size_t> chooseShareToGiveUp(const std::vector<size_t> &bytes,
                                          size_t limit) {
  size_t sum = std::accumulate(bytes.begin(), bytes.end(), size_t{0});
  if (sum <= limit)
    return std::nullopt;
  return std::max_element(bytes.begin(), bytes.end()) - bytes.begin();
}

void ReceiveMemory::enforceLimit() {
  while (Held > Limit) {
    std::vector<MemoryShare *> shares(Shares.begin(), Shares.end());
    std::vector<size_t> bytes;
    bytes.reserve(shares.size());
    for (const MemoryShare *it : shares)
      bytes.push_back(it->Bytes);
    std::optional<size_t> largest = chooseShareToGiveUp(bytes, Limit);
    if (!largest)
      return;
    MemoryShare &share = *shares[*largest];
    log::event(log::Category::Http, log::Level::Warning, "response_given_up",
               {{"bytes", static_cast<int64_t>(share.Bytes)},
                {"all_bytes", static_cast<int64_t>(Held)},
                {"limit", static_cast<int64_t>(Limit)},
                {"responses", static_cast<int64_t>(shares.size())}});
    share.GivenUp = true;
    share.setBytes(0);
    share.OnGivenUp();
  }
}

MemoryShare::MemoryShare(ReceiveMemory &memory, std::function<void()> onGivenUp)
    : Memory(memory), OnGivenUp(std::move(onGivenUp)) {
  Memory.Shares.insert(this);
}

MemoryShare::~MemoryShare() {
  setBytes(0);
  Memory.Shares.erase(this);
}

void MemoryShare::setBytes(size_t bytes) {
  Memory.Held += bytes;
  Memory.Held -= Bytes;
  Bytes = bytes;
}

void MemoryShare::resize(size_t bytes) {
  if (GivenUp)
    return;
  setBytes(bytes);
  Memory.enforceLimit();
}

} // namespace sardineford::http
