#include "Peers/RelayCodec.h"

#include "Messages/Messages.pb.h"

#include <catch2/catch.hpp>

using namespace sardineford;
using namespace sardineford::peers;

TEST_CASE("processes of several failure domains survive a relay") {
  std::vector<RunningProcess> processes = {
      {"a", {"10.1.2.3", 80}},
      {"a", {"255.0.0.1", 65'535}},
      {"b", {"127.0.0.1", 8'080}},
  };
  messages::GroupRelay relay;
  encodeProcesses(processes, relay);
  CHECK(relay.running_size() == 2);
  CHECK(decodeProcesses(relay) == processes);
}

TEST_CASE("a relay of a group of 20 takes less than 200 bytes") {
  std::vector<RunningProcess> processes;
  for (uint16_t i = 0; i < 20; ++i)
    processes.push_back({"failure-domain", {"10.1.2.3", i}});
  messages::GroupRelay relay;
  encodeProcesses(processes, relay);
  CHECK(relay.ByteSizeLong() < 200);
}

TEST_CASE("an address that is not IPv4 is not compact") {
  CHECK(isCompact({"10.1.2.3", 80}));
  CHECK_FALSE(isCompact({"::1", 80}));
  CHECK_FALSE(isCompact({"node-1.example", 80}));
  messages::GroupRelay relay;
  encodeProcesses({{"a", {"::1", 80}}}, relay);
  CHECK(decodeProcesses(relay).empty());
}

TEST_CASE("incomplete addresses of a relay are ignored") {
  messages::GroupRelay relay;
  messages::DomainProcesses *p = relay.add_running();
  p->set_endpoints(std::string("\x0a\x01\x02\x03\x00\x50\x0a", 7));
  std::vector<RunningProcess> found = decodeProcesses(relay);
  REQUIRE(found.size() == 1);
  CHECK(found[0].Address == http::Endpoint{"10.1.2.3", 80});
}
