#include "StandIns/Proof/Checkers.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <array>
#include <map>
#include <set>

namespace sardineford::standins {

using timeline::EventKind;

namespace {

constexpr std::array<std::string_view, 9> PointNames = {
    "whole-answer",          "at-most-once",         "not-run-is-true",
    "no-conflicting-orders", "no-effect-after-loss", "no-work-after-leaving",
    "nothing-cut",           "graceful-stop",        "generation-in-force"};

int64_t toUs(Milliseconds d) {
  return std::chrono::duration_cast<Microseconds>(d).count();
}

/// Events of one idempotency key.
struct KeyHistory {
  std::vector<int64_t> Sent;
  std::vector<int64_t> Ran;
  std::vector<int64_t> AnsweredNotRun;
};

std::map<std::string, KeyHistory> byKey(const History &h) {
  std::map<std::string, KeyHistory> out;
  for (const HistoryEvent &e : h) {
    if (e.Key.empty())
      continue;
    if (e.is(EventKind::RequestSent))
      out[e.Key].Sent.push_back(e.AtUs);
    if (e.is(EventKind::ServiceRan))
      out[e.Key].Ran.push_back(e.AtUs);
    if (e.is(EventKind::AnswerReceived) && e.Detail == "not-run")
      out[e.Key].AnsweredNotRun.push_back(e.AtUs);
  }
  return out;
}

/// A run at t makes "not run" at `said` false when it began before the answer,
/// or after it without the key being sent again in between.
bool contradicts(int64_t ran, int64_t said, const KeyHistory &k) {
  if (ran <= said)
    return true;
  auto next = std::upper_bound(k.Sent.begin(), k.Sent.end(), said);
  return next == k.Sent.end() || ran < *next;
}

} // namespace

std::string_view toString(Point p) {
  return PointNames[static_cast<size_t>(p)];
}

const std::vector<Point> &allPoints() {
  static const std::vector<Point> points = {
      Point::WholeAnswer,       Point::AtMostOnce,
      Point::NotRunIsTrue,      Point::NoConflictingOrders,
      Point::NoEffectAfterLoss, Point::NoWorkAfterLeaving,
      Point::NothingCut,        Point::GracefulStop,
      Point::GenerationInForce};
  return points;
}

std::vector<Violation> checkWholeAnswers(const History &h) {
  std::vector<Violation> out;
  for (const HistoryEvent &e : h) {
    if (!e.is(EventKind::AnswerReceived))
      continue;
    if (e.Detail == "wrong" || e.Detail == "lost")
      out.push_back({Point::WholeAnswer,
                     fmt::format("request {} got an answer that is {}",
                                 e.Request, e.Detail)});
  }
  for (const HistoryEvent &e : h) {
    bool gaveUp = e.is(EventKind::RequestFailed) &&
                  e.Process.starts_with("entry") &&
                  e.Detail != "the deadline has passed";
    if (gaveUp)
      out.push_back({Point::WholeAnswer,
                     fmt::format("{} gave up on accepted request {}: {}",
                                 e.Process, e.Request, e.Detail)});
  }
  return out;
}

std::vector<Violation> checkAtMostOnce(const History &h) {
  std::vector<Violation> out;
  for (const auto &[key, k] : byKey(h))
    if (k.Ran.size() > 1)
      out.push_back({Point::AtMostOnce,
                     fmt::format("key {} ran {} times", key, k.Ran.size())});
  return out;
}

std::vector<Violation> checkNotRun(const History &h) {
  std::vector<Violation> out;
  for (const auto &[key, k] : byKey(h))
    for (int64_t said : k.AnsweredNotRun)
      for (int64_t ran : k.Ran)
        if (contradicts(ran, said, k))
          out.push_back({Point::NotRunIsTrue,
                         fmt::format("key {} ran {} us after 'not run'", key,
                                     ran - said)});
  return out;
}

std::vector<Violation> checkConflictingOrders(const History &h) {
  std::vector<Violation> out;
  std::map<std::string, std::string> running;
  for (const HistoryEvent &e : h) {
    if (e.is(EventKind::ProcessStarted) || e.is(EventKind::OrderEnded))
      running.erase(e.Engine.empty() ? e.Process : e.Engine);
    bool arrives = e.is(EventKind::OrderRan) ||
                   (e.is(EventKind::OrderRefused) &&
                    e.Detail.find("busy") != std::string::npos);
    if (!arrives)
      continue;
    auto [it, isNew] = running.try_emplace(e.Engine, e.Order);
    if (!isNew && it->second != e.Order)
      out.push_back({Point::NoConflictingOrders,
                     fmt::format("engine {} got order {} during order {}",
                                 e.Engine, e.Order, it->second)});
  }
  return out;
}

std::vector<Violation> checkLostHolders(const History &h) {
  std::vector<Violation> out;
  std::map<std::string, uint64_t> highest;
  std::set<std::string> ended;
  for (const HistoryEvent &e : h) {
    if (e.is(EventKind::OrderDone))
      ended.insert(e.Order);
    if (!e.is(EventKind::OrderRan))
      continue;
    uint64_t &epoch = highest[e.Engine];
    if (e.Epoch < epoch)
      out.push_back({Point::NoEffectAfterLoss,
                     fmt::format("engine {} ran order {} of epoch {} after "
                                 "one of epoch {}",
                                 e.Engine, e.Order, e.Epoch, epoch)});
    if (ended.contains(e.Order))
      out.push_back({Point::NoEffectAfterLoss,
                     fmt::format("engine {} ran order {} after its end was "
                                 "recorded",
                                 e.Engine, e.Order)});
    epoch = std::max(epoch, e.Epoch);
  }
  return out;
}

std::vector<Violation> checkLeaving(const History &h, const CheckBounds &b) {
  std::vector<Violation> out;
  std::map<std::string, std::string> incarnation;
  std::map<std::string, int64_t> leavingSince;
  for (const HistoryEvent &e : h) {
    if (e.is(EventKind::ProcessStarted)) {
      incarnation[e.Process] = e.Detail;
      leavingSince.erase(e.Process);
    }
    // Word of an earlier incarnation may still spread after a restart.
    if (e.is(EventKind::EngineLeaving) && incarnation[e.Engine] == e.Detail)
      leavingSince.try_emplace(e.Engine, e.AtUs);
    bool isWork = e.is(EventKind::AttemptStarted) ||
                  e.is(EventKind::EngineAccepted) ||
                  e.is(EventKind::ServiceRan);
    auto it = isWork ? leavingSince.find(e.Engine) : leavingSince.end();
    if (it == leavingSince.end() || e.AtUs - it->second <= toUs(b.LeavingKnown))
      continue;
    out.push_back({Point::NoWorkAfterLeaving,
                   fmt::format("{} got work {} ms after it was known to leave",
                               e.Engine, (e.AtUs - it->second) / 1000)});
  }
  return out;
}

std::vector<Violation> checkNothingCut(const History &h) {
  std::vector<Violation> out;
  for (const HistoryEvent &e : h)
    if (e.is(EventKind::EngineCut))
      out.push_back(
          {Point::NothingCut, fmt::format("engine {} cut request {} for {}",
                                          e.Engine, e.Request, e.Detail)});
  return out;
}

std::vector<Violation> checkGracefulStops(const History &h) {
  std::vector<Violation> out;
  // Processes that were stopped gracefully and suffered nothing else.
  std::set<std::string> stopped;
  std::set<std::string> harmed;
  for (const HistoryEvent &e : h) {
    if (!e.is(EventKind::FaultBrought))
      continue;
    (e.Detail.starts_with("stop") ? stopped : harmed).insert(e.Engine);
  }
  for (const HistoryEvent &e : h) {
    if (!e.is(EventKind::RequestFailed) || e.Detail != "connection-broke")
      continue;
    if (stopped.contains(e.Engine) && !harmed.contains(e.Engine))
      out.push_back({Point::GracefulStop,
                     fmt::format("request {} broke at {}, which was stopped "
                                 "gracefully",
                                 e.Request, e.Engine)});
  }
  return out;
}

namespace {

/// Generations of one process between its starts.
struct ProcessGenerations {
  bool Running = false;
  int64_t StartedUs = 0;
  int64_t StoppedUs = 0;
  std::vector<HistoryEvent> Applied;

  uint64_t newest() const {
    return Applied.empty() ? 0 : Applied.back().Generation;
  }
};

bool isNode(const std::string &name) {
  return name.starts_with("entry") || name.starts_with("controller");
}

/// Last time that a fault began or ended.
int64_t lastFault(const History &h) {
  int64_t last = 0;
  for (const HistoryEvent &e : h)
    if (e.is(EventKind::FaultBrought))
      last = std::max(last, e.AtUs);
  return last;
}

void checkInForce(const std::string &name, const ProcessGenerations &p,
                  const HistoryEvent &published, int64_t from, int64_t end,
                  const CheckBounds &b, std::vector<Violation> &out) {
  int64_t due = std::max(from, p.StartedUs) + toUs(b.InForce);
  if (!p.Running || due > end)
    return;
  bool inTime = std::any_of(
      p.Applied.begin(), p.Applied.end(), [&](const HistoryEvent &e) {
        return e.Generation >= published.Generation && e.AtUs <= due;
      });
  if (!inTime)
    out.push_back({Point::GenerationInForce,
                   fmt::format("generation {} is not in force at {} in time",
                               published.Generation, name)});
}

/// Edits that were accepted must be in the generation at the end.
void checkAcceptedStay(const History &h, std::vector<Violation> &out) {
  for (const HistoryEvent &e : h)
    if (e.is(EventKind::ObjectAccepted) && e.Detail == "lost")
      out.push_back(
          {Point::GenerationInForce,
           fmt::format("accepted edit {} is not in force at the end", e.Key)});
}

} // namespace

std::vector<Violation> checkGenerations(const History &h,
                                        const CheckBounds &b) {
  std::vector<Violation> out;
  std::map<std::string, ProcessGenerations> processes;
  std::vector<HistoryEvent> published;
  for (const HistoryEvent &e : h) {
    if (e.is(EventKind::GenerationPublished))
      published.push_back(e);
    if (!isNode(e.Process))
      continue;
    ProcessGenerations &p = processes[e.Process];
    if (e.is(EventKind::ProcessStarted))
      p = {true, e.AtUs, 0, {}};
    if (e.is(EventKind::ProcessStopping))
      p.Running = false;
    if (!e.is(EventKind::GenerationApplied))
      continue;
    if (e.Generation <= p.newest())
      out.push_back({Point::GenerationInForce,
                     fmt::format("{} went from generation {} to {}", e.Process,
                                 p.newest(), e.Generation)});
    p.Applied.push_back(e);
  }
  int64_t end = h.empty() ? 0 : h.back().AtUs;
  int64_t calm = lastFault(h);
  for (const HistoryEvent &it : published)
    for (const auto &[name, p] : processes)
      checkInForce(name, p, it, std::max(it.AtUs, calm), end, b, out);
  checkAcceptedStay(h, out);
  return out;
}

std::vector<Violation> checkAll(const History &h, const CheckBounds &b) {
  std::vector<Violation> out;
  auto add = [&](std::vector<Violation> more) {
    out.insert(out.end(), more.begin(), more.end());
  };
  add(checkWholeAnswers(h));
  add(checkAtMostOnce(h));
  add(checkNotRun(h));
  add(checkConflictingOrders(h));
  add(checkLostHolders(h));
  add(checkLeaving(h, b));
  add(checkNothingCut(h));
  add(checkGracefulStops(h));
  add(checkGenerations(h, b));
  return out;
}

} // namespace sardineford::standins
