#include "Peers/TrackedLoad.h"

namespace sardineford::peers {

namespace {

/// Three repetitions of a share.
constexpr Milliseconds MaxShareAge{1'500};

} // namespace

void TrackedLoad::update(const ShareOrigin &origin, const std::string &server,
                         const fleet::WorkInFlight &work, MonoTime now) {
  Share &share = Servers[server][origin.Node];
  bool isOutdated = origin.Incarnation < share.Incarnation ||
                    (origin.Incarnation == share.Incarnation &&
                     origin.Sequence <= share.Sequence);
  if (!isOutdated)
    share = {origin.Incarnation, origin.Sequence, work, now};
}

void TrackedLoad::removeStale(MonoTime now) {
  for (auto &[server, shares] : Servers)
    std::erase_if(shares, [&](const auto &it) {
      return now - it.second.UpdatedAt > MaxShareAge;
    });
  std::erase_if(Servers, [](const auto &it) { return it.second.empty(); });
}

fleet::WorkInFlight TrackedLoad::totalWithout(const std::string &server,
                                              const std::string &node) const {
  fleet::WorkInFlight total;
  auto shares = Servers.find(server);
  if (shares == Servers.end())
    return total;
  for (const auto &[name, it] : shares->second)
    if (name != node)
      total += it.Work;
  return total;
}

} // namespace sardineford::peers
