#include "Peers/VersionView.h"

#include <algorithm>

namespace sardineford::peers {

bool isOnlyVersion(const VersionView &own, std::span<const VersionView> peers) {
  bool agree = own.OnlyVersion &&
               std::all_of(peers.begin(), peers.end(), [&](const auto &it) {
                 return it.OnlyVersion == own.OnlyVersion;
               });
  auto isRecent = [](const VersionView &it) {
    return it.Age.count() >= 0 && it.Age <= MaxVersionViewAge;
  };
  return agree &&
         (isRecent(own) || std::any_of(peers.begin(), peers.end(), isRecent));
}

} // namespace sardineford::peers
