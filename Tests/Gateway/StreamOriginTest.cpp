#include "Gateway/StreamOrigin.h"

#include "Peers/OriginTable.h"

#include <catch2/catch.hpp>

using namespace sardineford;
using gateway::chooseTakeUpVersion;

TEST_CASE("a stream that is taken up goes on at the version that began it") {
  std::set<std::string> versions = {"v1", "v1.1"};
  CHECK(chooseTakeUpVersion(versions, peers::hashOfVersion("v1.1")) == "v1.1");
}

TEST_CASE("a stream of an unknown version goes on only if there is one") {
  CHECK(chooseTakeUpVersion({"v1"}, std::nullopt) == "v1");
  CHECK_FALSE(chooseTakeUpVersion({"v1", "v1.1"}, std::nullopt));
  CHECK_FALSE(chooseTakeUpVersion({}, std::nullopt));
}

TEST_CASE("a stream whose version has no server does not go on at another") {
  CHECK_FALSE(chooseTakeUpVersion({"v1.1"}, peers::hashOfVersion("v1")));
}
