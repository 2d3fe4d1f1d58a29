#include "Control/NodeStatus.h"

#include "Metrics/MetricsText.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <array>
#include <set>
#include <string_view>

namespace sardineford::control {

namespace json = boost::json;

namespace {

/// The alarms of docs/OPERATIONS.md.
constexpr Seconds MaxAge{30};
constexpr Seconds MaxEventLoopLag{0.05};
constexpr double MinRetryBudget = 1;

constexpr std::string_view ConfigurationVersionGauge =
    "sardineford_configuration_version";

std::string_view toString(Severity s) {
  constexpr std::array<std::string_view, 4> Names = {"ok", "notice", "degraded",
                                                     "not_serving"};
  return Names[static_cast<size_t>(s)];
}

void readServerCount(const metrics::Sample &s, ServerCounts &out) {
  auto state = s.Labels.find("state");
  if (state == s.Labels.end())
    return;
  auto n = static_cast<unsigned>(s.Value);
  // A server that has not reached its full pace is used.
  if (state->second == "ready" || state->second == "paced")
    out.Ready += n;
  else if (state->second == "held_off")
    out.HeldOff = n;
  else
    out.Leaving = n;
}

std::string labelOf(const metrics::Sample &s, const std::string &name) {
  auto it = s.Labels.find(name);
  return it == s.Labels.end() ? std::string() : it->second;
}

/// What the daemons have in common, to find those that differ.
struct FleetSummary {
  uint64_t NewestConfiguration = 0;
  unsigned MostProcesses = 0;
};

FleetSummary summarize(const std::vector<NodeStatus> &nodes) {
  FleetSummary out;
  for (const NodeStatus &it : nodes) {
    out.NewestConfiguration =
        std::max(out.NewestConfiguration, it.ConfigurationVersion);
    out.MostProcesses = std::max(out.MostProcesses, it.Processes);
  }
  return out;
}

std::vector<NodeProblem> findProblems(const NodeStatus &n,
                                      const FleetSummary &fleet) {
  if (!n.Error.empty())
    return {{Severity::NotServing, "unreachable: " + n.Error}};
  std::vector<NodeProblem> out;
  auto add = [&](Severity level, std::string text) {
    out.push_back({level, std::move(text)});
  };
  if (!n.IsReady)
    add(Severity::NotServing, "not ready");
  if (n.ConfigurationVersion < fleet.NewestConfiguration)
    add(Severity::Degraded,
        fmt::format("configuration {} instead of {}", n.ConfigurationVersion,
                    fleet.NewestConfiguration));
  if (n.ConfigurationAge > MaxAge)
    add(Severity::Degraded, fmt::format("configuration confirmed {:.0f} s ago",
                                        n.ConfigurationAge.count()));
  if (n.ServersAge > MaxAge)
    add(Severity::Degraded,
        fmt::format("backend servers confirmed {:.0f} s ago",
                    n.ServersAge.count()));
  if (n.Processes < fleet.MostProcesses)
    add(Severity::Degraded, fmt::format("knows {} of {} processes", n.Processes,
                                        fleet.MostProcesses));
  for (const auto &[service, counts] : n.Servers) {
    if (counts.Ready == 0)
      add(Severity::Degraded, "no backend server of " + service + " is ready");
    if (counts.HeldOff > 0)
      add(Severity::Notice, fmt::format("{} backend servers of {} held off",
                                        counts.HeldOff, service));
    if (counts.Leaving > 0)
      add(Severity::Notice, fmt::format("{} backend servers of {} leaving",
                                        counts.Leaving, service));
  }
  if (n.RetryBudgetLeft && *n.RetryBudgetLeft < MinRetryBudget)
    add(Severity::Notice, "retry budget exhausted");
  if (n.EventLoopLag > MaxEventLoopLag)
    add(Severity::Notice, fmt::format("event loop lags by {:.0f} ms",
                                      n.EventLoopLag.count() * 1'000));
  std::stable_sort(out.begin(), out.end(), [](const auto &a, const auto &b) {
    return a.Level > b.Level;
  });
  return out;
}

std::map<std::string, uint64_t>
totalGivenUp(const std::vector<NodeAssessment> &nodes) {
  std::map<std::string, uint64_t> out;
  for (const NodeAssessment &it : nodes)
    for (const auto &[cause, n] : it.Node.GivenUp)
      out[cause] += n;
  return out;
}

json::object toJson(const NodeAssessment &a) {
  json::array problems;
  for (const NodeProblem &it : a.Problems)
    problems.push_back(
        json::object{{"severity", toString(it.Level)}, {"text", it.Text}});
  json::object servers;
  for (const auto &[service, it] : a.Node.Servers)
    servers[service] = json::object{
        {"ready", it.Ready}, {"held_off", it.HeldOff}, {"leaving", it.Leaving}};
  json::object givenUp;
  for (const auto &[cause, n] : a.Node.GivenUp)
    givenUp[cause] = n;
  json::object out = {{"address", http::toString(a.Node.Address)},
                      {"severity", toString(a.worst())},
                      {"problems", std::move(problems)}};
  if (!a.Node.Error.empty())
    return out;
  out["ready"] = a.Node.IsReady;
  out["configuration_version"] = a.Node.ConfigurationVersion;
  out["configuration_age_s"] = a.Node.ConfigurationAge.count();
  out["servers_age_s"] = a.Node.ServersAge.count();
  out["processes"] = a.Node.Processes;
  out["servers"] = std::move(servers);
  out["given_up"] = std::move(givenUp);
  out["event_loop_lag_s"] = a.Node.EventLoopLag.count();
  if (a.Node.RetryBudgetLeft)
    out["retry_budget_left"] = *a.Node.RetryBudgetLeft;
  return out;
}

} // namespace

NodeStatus parseNodeStatus(const http::Endpoint &address,
                           std::string_view metricsText) {
  NodeStatus out;
  out.Address = address;
  double lagSum = 0;
  double lagCount = 0;
  bool isDaemon = false;
  for (const metrics::Sample &it : metrics::parseMetrics(metricsText)) {
    if (it.Name == "sardineford_ready")
      out.IsReady = it.Value > 0;
    else if (it.Name == ConfigurationVersionGauge)
      out.ConfigurationVersion = static_cast<uint64_t>(it.Value);
    else if (it.Name == "sardineford_configuration_age_seconds")
      out.ConfigurationAge = Seconds(it.Value);
    else if (it.Name == "sardineford_servers_age_seconds")
      out.ServersAge = Seconds(it.Value);
    else if (it.Name == "sardineford_processes")
      out.Processes = static_cast<unsigned>(it.Value);
    else if (it.Name == "sardineford_servers")
      readServerCount(it, out.Servers[labelOf(it, "service")]);
    else if (it.Name == "sardineford_given_up_total")
      out.GivenUp[labelOf(it, "cause")] += static_cast<uint64_t>(it.Value);
    else if (it.Name == "sardineford_retry_budget_left")
      out.RetryBudgetLeft =
          std::min(out.RetryBudgetLeft.value_or(it.Value), it.Value);
    else if (it.Name == "sardineford_event_loop_lag_seconds_sum")
      lagSum = it.Value;
    else if (it.Name == "sardineford_event_loop_lag_seconds_count")
      lagCount = it.Value;
    isDaemon = isDaemon || it.Name == ConfigurationVersionGauge;
  }
  if (lagCount > 0)
    out.EventLoopLag = Seconds(lagSum / lagCount);
  if (!isDaemon)
    out.Error = "the address answers without metrics of a daemon";
  return out;
}

std::vector<NodeAssessment> assessNodes(std::vector<NodeStatus> nodes) {
  FleetSummary fleet = summarize(nodes);
  std::vector<NodeAssessment> out;
  for (NodeStatus &it : nodes) {
    std::vector<NodeProblem> problems = findProblems(it, fleet);
    out.push_back({std::move(it), std::move(problems)});
  }
  std::stable_sort(out.begin(), out.end(), [](const auto &a, const auto &b) {
    if (a.worst() != b.worst())
      return a.worst() > b.worst();
    return a.Problems.size() > b.Problems.size();
  });
  return out;
}

void printAssessments(const std::vector<NodeAssessment> &nodes,
                      std::ostream &out) {
  std::map<Severity, int> counts;
  for (const NodeAssessment &it : nodes)
    ++counts[it.worst()];
  out << fmt::format(
      "{} daemons: {} not serving, {} degraded, {} with notices, "
      "{} without problems\n",
      nodes.size(), counts[Severity::NotServing], counts[Severity::Degraded],
      counts[Severity::Notice], counts[Severity::None]);
  for (const auto &[cause, n] : totalGivenUp(nodes))
    out << fmt::format("given up since the starts, {}: {}\n", cause, n);
  for (const NodeAssessment &it : nodes) {
    if (it.Problems.empty())
      continue;
    out << fmt::format("{:<22}", http::toString(it.Node.Address));
    std::string_view separator = " ";
    for (const NodeProblem &problem : it.Problems) {
      out << separator << problem.Text;
      separator = "; ";
    }
    out << "\n";
  }
}

json::object toJson(const std::vector<NodeAssessment> &nodes) {
  json::array list;
  for (const NodeAssessment &it : nodes)
    list.push_back(toJson(it));
  Severity worst = Severity::None;
  for (const NodeAssessment &it : nodes)
    worst = std::max(worst, it.worst());
  return {{"severity", toString(worst)}, {"daemons", std::move(list)}};
}

} // namespace sardineford::control
