#pragma once

#include "StandIns/Platform/PlatformCaller.h"

#include <set>
#include <string>
#include <vector>

namespace sardineford::standins {

/// Checks the invariants that hold under every fault, from the results of the
/// callers and the history of the backend servers. Returns the violations.
std::vector<std::string> checkInvariants(const std::vector<CallResult> &calls,
                                         const std::string &historyFile);

/// Returns a violation for each request that ended without a complete response
/// although every backend server stayed alive.
std::vector<std::string>
checkCompleteness(const std::vector<CallResult> &calls);

/// Returns the arrivals at a backend server, or at all if `server` is empty,
/// from a time on. With `requests`, counts only these.
size_t countArrivals(const std::string &historyFile, const std::string &server,
                     Milliseconds from, const std::set<std::string> *requests);

} // namespace sardineford::standins
