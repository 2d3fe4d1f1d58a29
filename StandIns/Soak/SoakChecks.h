#pragma once

#include "StandIns/Platform/PlatformCaller.h"

#include <string>
#include <vector>

namespace sardineford::standins {

/// Promises that hold under every fault, judged from what callers got and
/// from the history that the backend servers wrote.
std::vector<std::string> checkPromises(const std::vector<CallResult> &calls,
                                       const std::string &historyFile);

} // namespace sardineford::standins
