#include "StandIns/Deployment/PortAllocator.h"

#include <catch2/catch.hpp>

#include <set>

using namespace sardineford;
using namespace sardineford::standins;

namespace {

constexpr uint32_t Start = 7;
constexpr size_t PortsOfDeployment = 60;

std::set<uint16_t> takePorts(PortAllocator &allocator, size_t n) {
  std::set<uint16_t> out;
  for (size_t i = 0; i < n; ++i)
    out.insert(allocator.next().Port);
  return out;
}

} // namespace

// Seen in soaks side by side: a daemon that was down found its port taken.
TEST_CASE("ports are given out once although nothing listens there yet") {
  PortAllocator first(Start);
  PortAllocator second(Start);
  std::set<uint16_t> ports = takePorts(first, PortsOfDeployment);
  ports.merge(takePorts(second, PortsOfDeployment));
  CHECK(ports.size() == 2 * PortsOfDeployment);
}
