#include "Peers/TrackerMap.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <map>

using namespace sardineford;
using namespace sardineford::peers;

namespace {

constexpr size_t Domains = 5;

std::string domain(size_t i) { return "domain-" + std::to_string(i % Domains); }

std::vector<RunningProcess> processes(size_t n) {
  std::vector<RunningProcess> out;
  for (size_t i = 0; i < n; ++i)
    out.push_back({domain(i), {"10.0.0." + std::to_string(i + 1), 7'000}});
  return out;
}

std::string server(size_t i) { return "server-" + std::to_string(i); }

} // namespace

TEST_CASE("a process that goes moves only the servers that it tracked") {
  constexpr size_t Servers = 1'900;
  std::vector<RunningProcess> all = processes(350);
  TrackerMap before;
  CHECK(before.setProcesses(all));
  CHECK_FALSE(before.setProcesses(all));
  http::Endpoint gone = all[17].Address;
  std::erase(all, all[17]);
  TrackerMap after;
  CHECK(after.setProcesses(all));
  for (size_t i = 0; i < Servers; ++i) {
    const http::Endpoint &tracker = before.trackerOf(server(i), domain(i));
    if (tracker == gone)
      CHECK(after.trackerOf(server(i), domain(i)) != gone);
    else
      CHECK(after.trackerOf(server(i), domain(i)) == tracker);
  }
}

TEST_CASE("servers spread over the processes") {
  TrackerMap map;
  map.setProcesses(processes(350));
  std::map<http::Endpoint, int> tracked;
  for (size_t i = 0; i < 1'900; ++i)
    ++tracked[map.trackerOf(server(i), domain(i))];
  // The mean is 5.4.
  for (const auto &[process, n] : tracked)
    CHECK(n <= 20);
  CHECK(tracked.size() > 330);
}

TEST_CASE("there is no tracker without processes") {
  TrackerMap map;
  CHECK(map.trackerOf(server(0), domain(0)) == http::Endpoint{});
}

TEST_CASE("the tracker is in the failure domain of the server") {
  TrackerMap map;
  std::vector<RunningProcess> all = processes(60);
  map.setProcesses(all);
  for (size_t i = 0; i < 200; ++i) {
    const http::Endpoint &tracker = map.trackerOf(server(i), domain(i));
    CHECK(std::count(all.begin(), all.end(),
                     RunningProcess{domain(i), tracker}) == 1);
  }
}

// One process would track the load of all servers of its domain.
TEST_CASE("a failure domain with few processes shares the trackers of all") {
  TrackerMap map;
  std::vector<RunningProcess> all = processes(60);
  all.push_back({"small", {"10.0.1.1", 7'000}});
  map.setProcesses(all);
  std::map<http::Endpoint, int> tracked;
  for (size_t i = 0; i < 200; ++i)
    ++tracked[map.trackerOf(server(i), "small")];
  CHECK(tracked.size() > 40);
  CHECK(tracked[map.trackerOf(server(0), "unknown")] > 0);
}
