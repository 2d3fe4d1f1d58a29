#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace sardineford::gateway {

/// Chooses the software version at which a stream that is taken up goes on.
/// `versions` are those that may have begun it, `found` is the hash of the one
/// that did, if it is known. Returns nothing if the request must be rejected:
/// no server has the version, or it is not known and several are possible.
std::optional<std::string>
chooseTakeUpVersion(const std::set<std::string> &versions,
                    std::optional<uint32_t> found);

} // namespace sardineford::gateway
