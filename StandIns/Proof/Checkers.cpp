#include "StandIns/Proof/Checkers.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <array>
#include <map>
#include <set>

namespace sardineford::standins {

using timeline::EventKind;

namespace {

constexpr std::array<std::string_view, 9> InvariantNames = {
    "whole-answer",          "at-most-once",         "not-run-is-true",
    "no-conflicting-orders", "no-effect-after-loss", "no-work-after-leaving",
    "nothing-cut",           "graceful-stop",        "generation-in-force"};

int64_t toUs(Milliseconds d) {
  return std::chrono::duration_cast<Microseconds>(d).count();
}

/// Events of one idempotency key.
struct KeyHistory {
  std::vector<int64_t> Sent;
  std::vector<int64_t> Executed;
  std::vector<int64_t> ReportedNotExecuted;
};

std::map<std::string, KeyHistory> groupByKey(const History &history) {
  std::map<std::string, KeyHistory> out;
  for (const HistoryEvent &e : history) {
    if (e.Key.empty())
      continue;
    if (e.is(EventKind::RequestSent))
      out[e.Key].Sent.push_back(e.AtUs);
    if (e.is(EventKind::ServiceRan))
      out[e.Key].Executed.push_back(e.AtUs);
    if (e.is(EventKind::AnswerReceived) && e.Detail == "not-run")
      out[e.Key].ReportedNotExecuted.push_back(e.AtUs);
  }
  return out;
}

/// Returns true if an execution contradicts a response that says that the key
/// was not executed: the execution began before the response, or after it
/// without a further attempt in between.
bool contradictsNotExecuted(int64_t executedUs, int64_t reportedUs,
                            const KeyHistory &k) {
  if (executedUs <= reportedUs)
    return true;
  auto next = std::upper_bound(k.Sent.begin(), k.Sent.end(), reportedUs);
  return next == k.Sent.end() || executedUs < *next;
}

} // namespace

std::string_view toString(Invariant i) {
  return InvariantNames[static_cast<size_t>(i)];
}

const std::vector<Invariant> &allInvariants() {
  static const std::vector<Invariant> invariants = {
      Invariant::CompleteResponse,       Invariant::AtMostOnce,
      Invariant::NotExecutedIsTrue,      Invariant::NoConflictingOrders,
      Invariant::NoEffectAfterLeaseLoss, Invariant::NoWorkAfterLeaving,
      Invariant::NoInterruptedRequests,  Invariant::GracefulStop,
      Invariant::GenerationsApplied};
  return invariants;
}

std::vector<Violation> checkCompleteResponses(const History &history) {
  std::vector<Violation> out;
  for (const HistoryEvent &e : history) {
    if (!e.is(EventKind::AnswerReceived))
      continue;
    if (e.Detail == "wrong" || e.Detail == "lost")
      out.push_back({Invariant::CompleteResponse,
                     fmt::format("the response to request {} is {}", e.Request,
                                 e.Detail)});
  }
  for (const HistoryEvent &e : history) {
    bool isFailure = e.is(EventKind::RequestFailed) &&
                     e.Process.starts_with("entry") &&
                     e.Detail != "the deadline has passed";
    if (isFailure)
      out.push_back({Invariant::CompleteResponse,
                     fmt::format("{} failed accepted request {}: {}", e.Process,
                                 e.Request, e.Detail)});
  }
  return out;
}

std::vector<Violation> checkAtMostOnce(const History &history) {
  std::vector<Violation> out;
  for (const auto &[key, k] : groupByKey(history))
    if (k.Executed.size() > 1)
      out.push_back(
          {Invariant::AtMostOnce, fmt::format("key {} was executed {} times",
                                              key, k.Executed.size())});
  return out;
}

std::vector<Violation> checkNotExecuted(const History &history) {
  std::vector<Violation> out;
  for (const auto &[key, k] : groupByKey(history))
    for (int64_t reportedUs : k.ReportedNotExecuted)
      for (int64_t executedUs : k.Executed)
        if (contradictsNotExecuted(executedUs, reportedUs, k))
          out.push_back(
              {Invariant::NotExecutedIsTrue,
               fmt::format(
                   "key {} was executed {} us after the response 'not-run'",
                   key, executedUs - reportedUs)});
  return out;
}

std::vector<Violation> checkConflictingOrders(const History &history) {
  std::vector<Violation> out;
  std::map<std::string, std::string> running;
  for (const HistoryEvent &e : history) {
    if (e.is(EventKind::ProcessStarted) || e.is(EventKind::OrderEnded))
      running.erase(e.Engine.empty() ? e.Process : e.Engine);
    bool isReceived = e.is(EventKind::OrderRan) ||
                      (e.is(EventKind::OrderRefused) &&
                       e.Detail.find("busy") != std::string::npos);
    if (!isReceived)
      continue;
    auto [it, isNew] = running.try_emplace(e.Engine, e.Order);
    if (!isNew && it->second != e.Order)
      out.push_back(
          {Invariant::NoConflictingOrders,
           fmt::format("engine {} received order {} while order {} was running",
                       e.Engine, e.Order, it->second)});
  }
  return out;
}

std::vector<Violation> checkLostLeases(const History &history) {
  std::vector<Violation> out;
  std::map<std::string, uint64_t> highest;
  std::set<std::string> ended;
  for (const HistoryEvent &e : history) {
    if (e.is(EventKind::OrderDone))
      ended.insert(e.Order);
    if (!e.is(EventKind::OrderRan))
      continue;
    uint64_t &epoch = highest[e.Engine];
    if (e.Epoch < epoch)
      out.push_back(
          {Invariant::NoEffectAfterLeaseLoss,
           fmt::format("engine {} executed order {} of epoch {} after "
                       "an order of epoch {}",
                       e.Engine, e.Order, e.Epoch, epoch)});
    if (ended.contains(e.Order))
      out.push_back({Invariant::NoEffectAfterLeaseLoss,
                     fmt::format("engine {} executed order {} after the order "
                                 "was recorded as done",
                                 e.Engine, e.Order)});
    epoch = std::max(epoch, e.Epoch);
  }
  return out;
}

std::vector<Violation> checkLeavingServers(const History &history,
                                           const CheckBounds &bounds) {
  std::vector<Violation> out;
  std::map<std::string, std::string> incarnation;
  std::map<std::string, int64_t> leavingSince;
  for (const HistoryEvent &e : history) {
    if (e.is(EventKind::ProcessStarted)) {
      incarnation[e.Process] = e.Detail;
      leavingSince.erase(e.Process);
    }
    // A report about an earlier incarnation may arrive after a restart.
    if (e.is(EventKind::EngineLeaving) && incarnation[e.Engine] == e.Detail)
      leavingSince.try_emplace(e.Engine, e.AtUs);
    bool isWork = e.is(EventKind::AttemptStarted) ||
                  e.is(EventKind::EngineAccepted) ||
                  e.is(EventKind::ServiceRan);
    auto it = isWork ? leavingSince.find(e.Engine) : leavingSince.end();
    if (it == leavingSince.end() ||
        e.AtUs - it->second <= toUs(bounds.MaxWorkAfterLeaving))
      continue;
    out.push_back(
        {Invariant::NoWorkAfterLeaving,
         fmt::format(
             "{} received work {} ms after a process recorded it as leaving",
             e.Engine, (e.AtUs - it->second) / 1000)});
  }
  return out;
}

std::vector<Violation> checkInterruptedRequests(const History &history) {
  std::vector<Violation> out;
  for (const HistoryEvent &e : history)
    if (e.is(EventKind::EngineCut))
      out.push_back({Invariant::NoInterruptedRequests,
                     fmt::format("engine {} interrupted request {}: {}",
                                 e.Engine, e.Request, e.Detail)});
  return out;
}

std::vector<Violation> checkGracefulStops(const History &history) {
  std::vector<Violation> out;
  // Only processes that were stopped gracefully and had no other fault count.
  std::set<std::string> stopped;
  std::set<std::string> otherwiseFaulted;
  for (const HistoryEvent &e : history) {
    if (!e.is(EventKind::FaultBrought))
      continue;
    (e.Detail.starts_with("stop") ? stopped : otherwiseFaulted)
        .insert(e.Engine);
  }
  for (const HistoryEvent &e : history) {
    if (!e.is(EventKind::RequestFailed) || e.Detail != "connection-broke")
      continue;
    if (stopped.contains(e.Engine) && !otherwiseFaulted.contains(e.Engine))
      out.push_back({Invariant::GracefulStop,
                     fmt::format("the connection of request {} broke at {}, "
                                 "which was stopped gracefully",
                                 e.Request, e.Engine)});
  }
  return out;
}

namespace {

/// Generations that one process applied since its last start.
struct ProcessGenerations {
  bool Running = false;
  int64_t StartedUs = 0;
  int64_t StoppedUs = 0;
  std::vector<HistoryEvent> Applied;

  uint64_t newest() const {
    return Applied.empty() ? 0 : Applied.back().Generation;
  }
};

bool isDaemon(const std::string &name) {
  return name.starts_with("entry") || name.starts_with("controller");
}

/// Returns the time of the last begin or end of a fault.
int64_t lastFaultTime(const History &history) {
  int64_t lastUs = 0;
  for (const HistoryEvent &e : history)
    if (e.is(EventKind::FaultBrought))
      lastUs = std::max(lastUs, e.AtUs);
  return lastUs;
}

void checkAppliedInTime(const std::string &name, const ProcessGenerations &p,
                        const HistoryEvent &published, int64_t fromUs,
                        int64_t endUs, const CheckBounds &bounds,
                        std::vector<Violation> &out) {
  int64_t dueUs = std::max(fromUs, p.StartedUs) + toUs(bounds.MaxApplyTime);
  if (!p.Running || dueUs > endUs)
    return;
  bool isInTime = std::any_of(
      p.Applied.begin(), p.Applied.end(), [&](const HistoryEvent &e) {
        return e.Generation >= published.Generation && e.AtUs <= dueUs;
      });
  if (!isInTime)
    out.push_back({Invariant::GenerationsApplied,
                   fmt::format("generation {} was not applied by {} in time",
                               published.Generation, name)});
}

/// Reports the accepted edits that are missing from the last generation.
void checkAcceptedEdits(const History &history, std::vector<Violation> &out) {
  for (const HistoryEvent &e : history)
    if (e.is(EventKind::ObjectAccepted) && e.Detail == "lost")
      out.push_back(
          {Invariant::GenerationsApplied,
           fmt::format("accepted edit {} is missing from the last generation",
                       e.Key)});
}

} // namespace

std::vector<Violation> checkGenerations(const History &history,
                                        const CheckBounds &bounds) {
  std::vector<Violation> out;
  std::map<std::string, ProcessGenerations> processes;
  std::vector<HistoryEvent> published;
  for (const HistoryEvent &e : history) {
    if (e.is(EventKind::GenerationPublished))
      published.push_back(e);
    if (!isDaemon(e.Process))
      continue;
    ProcessGenerations &p = processes[e.Process];
    if (e.is(EventKind::ProcessStarted))
      p = {true, e.AtUs, 0, {}};
    if (e.is(EventKind::ProcessStopping))
      p.Running = false;
    if (!e.is(EventKind::GenerationApplied))
      continue;
    if (e.Generation <= p.newest())
      out.push_back({Invariant::GenerationsApplied,
                     fmt::format("{} changed from generation {} to {}",
                                 e.Process, p.newest(), e.Generation)});
    p.Applied.push_back(e);
  }
  int64_t endUs = history.empty() ? 0 : history.back().AtUs;
  int64_t lastFaultUs = lastFaultTime(history);
  for (const HistoryEvent &it : published)
    for (const auto &[name, p] : processes)
      checkAppliedInTime(name, p, it, std::max(it.AtUs, lastFaultUs), endUs,
                         bounds, out);
  checkAcceptedEdits(history, out);
  return out;
}

std::vector<Violation> checkAll(const History &history,
                                const CheckBounds &bounds) {
  std::vector<Violation> out;
  auto add = [&](std::vector<Violation> more) {
    out.insert(out.end(), more.begin(), more.end());
  };
  add(checkCompleteResponses(history));
  add(checkAtMostOnce(history));
  add(checkNotExecuted(history));
  add(checkConflictingOrders(history));
  add(checkLostLeases(history));
  add(checkLeavingServers(history, bounds));
  add(checkInterruptedRequests(history));
  add(checkGracefulStops(history));
  add(checkGenerations(history, bounds));
  return out;
}

} // namespace sardineford::standins
