#include "Peers/TrackerMap.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <map>

using namespace sardineford;
using namespace sardineford::peers;

namespace {

std::vector<http::Endpoint> processes(size_t n) {
  std::vector<http::Endpoint> out;
  for (size_t i = 0; i < n; ++i)
    out.push_back({"10.0.0." + std::to_string(i + 1), 7'000});
  return out;
}

std::string server(size_t i) { return "server-" + std::to_string(i); }

} // namespace

TEST_CASE("a process that goes moves only the servers that it tracked") {
  constexpr size_t Servers = 1'900;
  std::vector<http::Endpoint> all = processes(350);
  TrackerMap before;
  CHECK(before.setProcesses(all));
  CHECK_FALSE(before.setProcesses(all));
  http::Endpoint gone = all[17];
  std::erase(all, gone);
  TrackerMap after;
  CHECK(after.setProcesses(all));
  for (size_t i = 0; i < Servers; ++i) {
    if (before.trackerOf(server(i)) == gone)
      CHECK(after.trackerOf(server(i)) != gone);
    else
      CHECK(after.trackerOf(server(i)) == before.trackerOf(server(i)));
  }
}

TEST_CASE("servers spread over the processes") {
  TrackerMap map;
  map.setProcesses(processes(350));
  std::map<http::Endpoint, int> tracked;
  for (size_t i = 0; i < 1'900; ++i)
    ++tracked[map.trackerOf(server(i))];
  // The mean is 5.4.
  for (const auto &[process, n] : tracked)
    CHECK(n <= 20);
  CHECK(tracked.size() > 330);
}

TEST_CASE("there is no tracker without processes") {
  TrackerMap map;
  CHECK(map.trackerOf(server(0)) == http::Endpoint{});
}
