#include "Peers/SoundRequests.h"

#include <catch2/catch.hpp>

using namespace sardineford;
using namespace sardineford::peers;

namespace {

MonoTime at(int seconds) { return MonoTime{} + std::chrono::seconds(seconds); }

} // namespace

TEST_CASE("sound answers to requests are remembered for a while") {
  SoundRequests sounds;
  sounds.record(1, at(100), at(100));
  sounds.record(1, at(99), at(101));
  CHECK(sounds.find(1) == at(100));
  CHECK_FALSE(sounds.find(2));
  sounds.record(2, at(140), at(140));
  CHECK(sounds.find(1) == at(100));
  sounds.record(3, at(180), at(180));
  CHECK_FALSE(sounds.find(1));
  CHECK(sounds.find(2) == at(140));
}

TEST_CASE("many different requests do not fill the memory") {
  SoundRequests sounds;
  for (uint64_t i = 0; i < 10'000; ++i)
    sounds.record(i, at(100), at(100));
  CHECK_FALSE(sounds.find(0));
  CHECK(sounds.find(9'999));
}
