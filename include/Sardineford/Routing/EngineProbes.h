#pragma once

#include "Sardineford/Routing/Placement.h"

#include <optional>
#include <random>
#include <vector>

namespace sardineford::routing {

/// Chooses the engines whose load is asked for before a request is placed, in a
/// fleet that is too large to know all loads at every time. The best of a few
/// engines with known load is nearly as good as the best of all, and much
/// better than the best by old knowledge, which many processes choose at once.
/// For each role, or for the given one, the result holds the first of
/// `preferred`, which are likely to have the prompt cached, and random others,
/// most of them in the failure domain of this process. Ejected engines are
/// chosen only if there are no others.
std::vector<size_t> chooseProbes(const std::vector<EngineCandidate> &engines,
                                 const std::vector<size_t> &preferred,
                                 std::optional<EngineRole> role,
                                 std::mt19937_64 &random);

} // namespace sardineford::routing
