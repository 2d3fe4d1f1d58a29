#include "Sardineford/Http/CallerBounds.h"

#include <catch2/catch.hpp>

using namespace sardineford;
using namespace sardineford::http;

namespace {

constexpr uint64_t Mb = uint64_t{1024} * 1024;

ConnectionState usedFor(ConnectionUse use, int startSeconds) {
  return {use, MonoTime{} + std::chrono::seconds(startSeconds)};
}

} // namespace

// Guards against limits on instances whose size is not known.
TEST_CASE("callers are not limited where the instance's size is not known") {
  CHECK_FALSE(callerMemoryLimit(0, {}));
  CHECK_FALSE(callerConnectionLimit(0, {}));
  CHECK(callerMemoryLimit(7, {}) == 7);
  CHECK(callerConnectionLimit(7, {}) == 7);
}

// Guards against limits that reject the largest request, or that together
// exceed the instance.
TEST_CASE("the limits on callers fit the smallest instance") {
  InstanceSize smallest{120 * Mb, 3'075};
  size_t memory = callerMemoryLimit(0, smallest).value();
  size_t connections = callerConnectionLimit(0, smallest).value();
  CHECK(memory >= 16 * Mb);
  CHECK(memory + connections * Mb / 32 <= 120 * Mb * 2 / 3);
  CHECK(connections >= 1'000);
  CHECK(connections <= 3'075 / 2);
}

// Guards against a body that takes far more memory than its bytes.
TEST_CASE("the memory of a body grows with its bytes") {
  CHECK(nextBodyCapacity(100, 90, 0) == 100);
  CHECK(nextBodyCapacity(100, 101, 0) == 150);
  CHECK(nextBodyCapacity(100, 400, 0) == 400);
  CHECK(nextBodyCapacity(100, 101, 120) == 120);
  CHECK(nextBodyCapacity(15, 1'000, 4 * Mb) == 1'000);
}

// Guards against closing a connection whose request is being served, or one
// that is in use while another is idle.
TEST_CASE("the connection that is needed least gives its place") {
  auto serving = usedFor(ConnectionUse::Serving, 1);
  auto receiving = usedFor(ConnectionUse::Receiving, 2);
  auto idle = usedFor(ConnectionUse::Idle, 5);
  auto longIdle = usedFor(ConnectionUse::Idle, 3);
  auto closing = usedFor(ConnectionUse::Closing, 9);
  CHECK_FALSE(chooseConnectionToClose({}));
  CHECK_FALSE(chooseConnectionToClose({serving, serving}));
  CHECK(chooseConnectionToClose({serving, receiving}) == 1);
  CHECK(chooseConnectionToClose({serving, receiving, idle, longIdle}) == 3);
  CHECK(chooseConnectionToClose({longIdle, closing}) == 1);
}
