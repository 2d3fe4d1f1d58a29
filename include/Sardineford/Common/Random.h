#pragma once

#include "Sardineford/Common/Time.h"

#include <cstdint>
#include <random>
#include <string>
#include <string_view>

namespace sardineford {

/// Returns the random generator of this process, seeded from the operating
/// system. Not thread-safe.
std::mt19937_64 &randomGenerator();

/// Returns a random identifier of 16 hexadecimal digits.
std::string makeId();

/// Returns an identifier for this start of a process. It begins with the wall
/// clock time, so that identifiers of later starts compare greater.
std::string makeIncarnation();

/// Returns a uniformly distributed duration in [base/2, base*3/2], so that
/// processes do not act at the same time.
Milliseconds jittered(Milliseconds base);

/// Returns a 64-bit XXH3 hash of the text.
uint64_t hash64(std::string_view text, uint64_t seed = 0);

} // namespace sardineford
