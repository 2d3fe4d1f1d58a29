#pragma once

#include "StandIns/Platform/PlatformCaller.h"

#include <string>
#include <vector>

namespace sardineford::standins {

/// Checks the invariants that hold under every fault, from the results of the
/// callers and the history of the backend servers. Returns the violations.
std::vector<std::string> checkInvariants(const std::vector<CallResult> &calls,
                                         const std::string &historyFile);

} // namespace sardineford::standins
