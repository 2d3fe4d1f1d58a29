#pragma once

#include "Sardineford/Common/Time.h"

#include <cstdint>
#include <random>
#include <string>
#include <string_view>

namespace sardineford {

/// The process's random generator, seeded from the system. Single-threaded.
std::mt19937_64 &randomGenerator();

/// Returns a random identifier of 16 hexadecimal digits.
std::string makeId();

/// Returns an identifier for this start of a process. It begins with the wall
/// clock's time, so that of two starts the later one has the greater id.
std::string makeIncarnation();

/// Returns a duration spread evenly over [base/2, base*3/2], so that many
/// processes do not act at the same moment.
Milliseconds jittered(Milliseconds base);

/// Returns a 64-bit XXH3 hash of the text.
uint64_t hash64(std::string_view text, uint64_t seed = 0);

} // namespace sardineford
