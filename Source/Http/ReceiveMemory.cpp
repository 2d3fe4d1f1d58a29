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
    MonoTime now = MonoClock::now();
    std::vector<MemoryShare *> shares;
    std::vector<size_t> bytes;
    size_t kept = Held;
    for (MemoryShare *it : Shares) {
      if (it->Bytes == 0 || it->KeptUntil > now)
        continue;
      shares.push_back(it);
      bytes.push_back(it->Bytes);
      kept -= it->Bytes;
    }
    std::optional<size_t> largest =
        chooseShareToGiveUp(bytes, Limit - std::min(Limit, kept));
    if (!largest)
      return;
    MemoryShare &share = *shares[*largest];
    GivenUpShare givenUp{share.Bytes, Held, Limit, shares.size()};
    if (Report)
      Report(givenUp);
    else
      log::event(log::Category::Http, log::Level::Warning, "response_given_up",
                 {{"bytes", static_cast<int64_t>(givenUp.Bytes)},
                  {"all_bytes", static_cast<int64_t>(givenUp.AllBytes)},
                  {"limit", static_cast<int64_t>(givenUp.Limit)},
                  {"responses", static_cast<int64_t>(givenUp.Shares)}});
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
