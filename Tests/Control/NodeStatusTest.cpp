#include "Control/NodeStatus.h"

#include <catch2/catch.hpp>

#include <sstream>

using namespace sardineford;
using namespace sardineford::control;

namespace {

NodeStatus healthyNode(uint16_t port) {
  NodeStatus n;
  n.Address = {"10.0.0.1", port};
  n.IsReady = true;
  n.ConfigurationVersion = 7;
  n.Processes = 40;
  n.Servers["model"] = {12, 0, 0};
  return n;
}

std::vector<NodeStatus> healthyNodes(uint16_t count) {
  std::vector<NodeStatus> out;
  for (uint16_t i = 1; i <= count; ++i)
    out.push_back(healthyNode(i));
  return out;
}

std::string print(const std::vector<NodeAssessment> &nodes) {
  std::ostringstream out;
  printAssessments(nodes, out);
  return out.str();
}

} // namespace

TEST_CASE("the state of a daemon is read from its metrics") {
  NodeStatus n = parseNodeStatus(
      {"10.0.0.1", 1},
      "sardineford_ready 1\n"
      "sardineford_configuration_version 12\n"
      "sardineford_configuration_age_seconds 2.5\n"
      "sardineford_servers_age_seconds 1.5\n"
      "sardineford_processes 40\n"
      "sardineford_servers{service=\"model\",state=\"ready\"} 9\n"
      "sardineford_servers{service=\"model\",state=\"held_off\"} 2\n"
      "sardineford_servers{service=\"model\",state=\"leaving\"} 1\n"
      "sardineford_given_up_total{route=\"a\",cause=\"overloaded\"} 3\n"
      "sardineford_given_up_total{route=\"b\",cause=\"overloaded\"} 4\n"
      "sardineford_retry_budget_left{service=\"model\"} 5\n"
      "sardineford_retry_budget_left{service=\"files\"} 0.5\n"
      "sardineford_event_loop_lag_seconds_sum 6\n"
      "sardineford_event_loop_lag_seconds_count 60\n");
  CHECK(n.Error.empty());
  CHECK(n.IsReady);
  CHECK(n.ConfigurationVersion == 12);
  CHECK(n.ConfigurationAge == Seconds(2.5));
  CHECK(n.ServersAge == Seconds(1.5));
  CHECK(n.Processes == 40);
  CHECK(n.Servers.at("model").Ready == 9);
  CHECK(n.Servers.at("model").HeldOff == 2);
  CHECK(n.Servers.at("model").Leaving == 1);
  CHECK(n.GivenUp.at("overloaded") == 7);
  CHECK(n.RetryBudgetLeft == 0.5);
  CHECK(n.EventLoopLag == Seconds(0.1));
}

TEST_CASE("an address that is no daemon has an error") {
  CHECK_FALSE(parseNodeStatus({"10.0.0.1", 1}, "other 1\n").Error.empty());
}

TEST_CASE("daemons without problems are not listed") {
  std::vector<NodeAssessment> nodes = assessNodes(healthyNodes(40));
  CHECK(nodes.front().worst() == Severity::None);
  CHECK(print(nodes) == "40 daemons: 0 not serving, 0 degraded, 0 with "
                        "notices, 40 without problems\n");
  CHECK(toJson(nodes).at("severity") == "ok");
}

TEST_CASE("the daemons with the worst problems come first") {
  std::vector<NodeStatus> all = healthyNodes(40);
  all[5].Servers["model"].HeldOff = 1;
  all[9].ConfigurationVersion = 6;
  all[20].Error = "connection refused";
  all[30].IsReady = false;
  all[30].Processes = 3;
  std::vector<NodeAssessment> nodes = assessNodes(all);
  auto port = [&](size_t i) { return nodes[i].Node.Address.Port; };
  CHECK(port(0) == 31);
  CHECK(port(1) == 21);
  CHECK(port(2) == 10);
  CHECK(port(3) == 6);
  CHECK(nodes[4].worst() == Severity::None);
  CHECK(print(nodes) ==
        "40 daemons: 2 not serving, 1 degraded, 1 with notices, 36 without "
        "problems\n"
        "10.0.0.1:31            not ready; knows 3 of 40 processes\n"
        "10.0.0.1:21            unreachable: connection refused\n"
        "10.0.0.1:10            configuration 6 instead of 7\n"
        "10.0.0.1:6             1 backend servers of model held off\n");
}

TEST_CASE("old views, lag and exhausted budgets are problems") {
  NodeStatus n = healthyNode(1);
  n.ConfigurationAge = Seconds(31);
  n.ServersAge = Seconds(45);
  n.EventLoopLag = Seconds(0.08);
  n.RetryBudgetLeft = 0.2;
  n.Servers["files"] = {0, 0, 2};
  std::vector<NodeAssessment> nodes = assessNodes({n});
  CHECK(nodes[0].worst() == Severity::Degraded);
  CHECK(nodes[0].Problems.size() == 6);
}
