#include "Sardineford/Common/Random.h"

#include <xxhash.h>

#include <array>
#include <cstdio>

namespace sardineford {

std::mt19937_64 &randomGenerator() {
  static std::mt19937_64 generator{std::random_device{}()};
  return generator;
}

std::string makeId() {
  std::array<char, 17> buf{};
  std::snprintf(buf.data(), buf.size(), "%016llx",
                static_cast<unsigned long long>(randomGenerator()()));
  return buf.data();
}

std::string makeIncarnation() {
  auto ms = std::chrono::duration_cast<Milliseconds>(
      WallClock::now().time_since_epoch());
  std::array<char, 32> buf{};
  std::snprintf(buf.data(), buf.size(), "%012llx-%04x",
                static_cast<unsigned long long>(ms.count()),
                static_cast<unsigned>(randomGenerator()() & 0xffff));
  return buf.data();
}

Milliseconds jittered(Milliseconds base) {
  if (base.count() <= 1)
    return base;
  std::uniform_int_distribution<int64_t> spread(base.count() / 2,
                                                base.count() * 3 / 2);
  return Milliseconds(spread(randomGenerator()));
}

uint64_t hash64(std::string_view text, uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

} // namespace sardineford
