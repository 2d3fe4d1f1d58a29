#include "Sardineford/Http/ReceiveMemory.h"

#include <catch2/catch.hpp>

using namespace sardineford::http;

TEST_CASE("nothing is given up within the limit") {
  CHECK_FALSE(chooseShareToGiveUp({}, 10));
  CHECK_FALSE(chooseShareToGiveUp({4, 6}, 10));
}

TEST_CASE("the largest response is given up when all together exceed the "
          "limit") {
  CHECK(chooseShareToGiveUp({4, 6, 1}, 10) == 1);
  ReceiveMemory memory(100);
  int smallGivenUp = 0;
  int largeGivenUp = 0;
  MemoryShare small(memory, [&] { ++smallGivenUp; });
  MemoryShare large(memory, [&] { ++largeGivenUp; });
  large.resize(60);
  small.resize(40);
  CHECK(memory.held() == 100);
  small.resize(41);
  CHECK(largeGivenUp == 1);
  CHECK(large.isGivenUp());
  CHECK(memory.held() == 41);
  // What still arrives for it is not counted.
  large.resize(70);
  CHECK(memory.held() == 41);
  CHECK(largeGivenUp == 1);
  CHECK(smallGivenUp == 0);
}

TEST_CASE("the memory of a response is free when the response is gone") {
  ReceiveMemory memory(100);
  {
    MemoryShare share(memory, [] {});
    share.resize(80);
  }
  CHECK(memory.held() == 0);
  MemoryShare next(memory, [] {});
  next.resize(100);
  CHECK_FALSE(next.isGivenUp());
}

// Guards against giving up a request that has been sent to a server.
TEST_CASE("kept shares are counted but not given up") {
  ReceiveMemory memory(100);
  int keptGivenUp = 0;
  MemoryShare kept(memory, [&] { ++keptGivenUp; });
  MemoryShare other(memory, [] {});
  kept.keepUntil(sardineford::MonoTime::max());
  kept.resize(90);
  other.resize(20);
  CHECK(other.isGivenUp());
  CHECK_FALSE(memory.isExceeded());
  kept.resize(110);
  CHECK(memory.isExceeded());
  CHECK(keptGivenUp == 0);
  kept.keepUntil({});
  kept.resize(101);
  CHECK(keptGivenUp == 1);
}
