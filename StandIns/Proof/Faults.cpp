#include "StandIns/Proof/Faults.h"

#include <boost/json.hpp>
#include <rapidcheck.h>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <set>
#include <thread>

namespace sardineford::standins {

namespace json = boost::json;
using membership::InstanceState;

namespace {

constexpr std::array<std::string_view, NumFaultKinds> FaultKindNames = {
    "kill-entry",          "kill-holder",      "kill-engine",
    "kill-service",        "pause-entry",      "pause-holder",
    "stop-entry",          "stop-controller",  "cut-engine",
    "silence-engine",      "slow-engine-link", "cut-controller",
    "cut-from-store",      "store-down",       "store-slow",
    "store-loses-replies", "crash-in-order",   "stale-reports",
    "engine-leaves",       "late-order"};

constexpr Milliseconds StatusTimeout{500};
constexpr int StopTimeoutMs = 6'000;
constexpr int MaxFaults = 4;
constexpr Milliseconds OrderSendTimeout{3'000};
constexpr Milliseconds OrderPollInterval{10};

/// Returns the name of the controller that holds a pool's lease, or of the
/// first controller if none reports the lease.
std::string leaseHolderOf(Deployment &d, const std::string &pool) {
  for (const std::string &name : d.controllers()) {
    http::Request request;
    request.Target = "/status";
    http::Response r =
        callBlocking(d.httpEndpoint(name), request, StatusTimeout);
    if (r.Status != 200)
      continue;
    json::value v = json::parse(r.Body);
    for (const json::value &it : v.at("pools").as_array())
      if (it.at("pool").as_string() == pool && it.at("holds").as_bool())
        return name;
  }
  return d.controllers().front();
}

/// Begins and ends single faults.
class FaultInjector {
public:
  FaultInjector(Deployment &d, std::string pool, timeline::Recorder &recorder)
      : System(d), Pool(std::move(pool)), Recorder(recorder) {}

  /// Begins a fault and returns the name of the affected process or store.
  std::string begin(const Fault &f) {
    std::string name = selectTarget(f);
    record(f, name, "begin");
    Process *p = System.has(name) ? &System.process(name) : nullptr;
    switch (f.Kind) {
    case FaultKind::KillEntry:
    case FaultKind::KillHolder:
    case FaultKind::KillEngine:
    case FaultKind::KillService:
      p->kill();
      break;
    case FaultKind::PauseEntry:
    case FaultKind::PauseHolder:
      p->pause();
      break;
    case FaultKind::StopEntry:
    case FaultKind::StopController:
      p->terminate();
      Stopping.insert(name);
      break;
    case FaultKind::CutEngine:
    case FaultKind::CutController:
      System.setLink(name, R"({"mode":"drop"})");
      break;
    case FaultKind::SilenceEngine:
      System.setLink(name, R"({"mode":"swallow_open"})");
      break;
    case FaultKind::SlowEngineLink:
      System.setLink(name, R"({"delay_ms":120})");
      break;
    case FaultKind::CutFromStore:
      System.setStoreLink(name, R"({"mode":"drop"})");
      break;
    case FaultKind::StoreDown:
      System.setStore(R"({"down":true})");
      break;
    case FaultKind::StoreSlow:
      System.setStore(R"({"delay_ms":150})");
      break;
    case FaultKind::StoreLosesReplies:
      System.setStore(R"({"lost_reply_share":0.5})");
      break;
    case FaultKind::CrashInOrder:
      System.admin(name, R"({"crash_in_order":true})");
      break;
    case FaultKind::StaleReports:
      System.admin(name, R"({"report_lag_ms":2000})");
      break;
    case FaultKind::EngineLeaves:
      System.admin(name, R"({"leaving":true})");
      System.setInstance(name, InstanceState::Leaving);
      break;
    case FaultKind::LateOrder:
      beginLateOrder();
      break;
    }
    return name;
  }

  void end(const Fault &f, const std::string &name) {
    switch (f.Kind) {
    case FaultKind::KillEntry:
    case FaultKind::KillHolder:
    case FaultKind::KillEngine:
    case FaultKind::KillService:
    case FaultKind::CrashInOrder:
      System.restart(name);
      break;
    case FaultKind::PauseEntry:
    case FaultKind::PauseHolder:
      System.process(name).resume();
      break;
    case FaultKind::StopEntry:
    case FaultKind::StopController:
      // Two overlapping stops need only one restart: the restarted process
      // has received no SIGTERM.
      if (Stopping.erase(name) == 0)
        break;
      System.process(name).wait(StopTimeoutMs);
      System.restart(name);
      break;
    case FaultKind::CutEngine:
    case FaultKind::CutController:
    case FaultKind::SilenceEngine:
      System.setLink(name, R"({"mode":"pass"})");
      break;
    case FaultKind::SlowEngineLink:
      System.setLink(name, R"({"delay_ms":0})");
      break;
    case FaultKind::CutFromStore:
      System.setStoreLink(name, R"({"mode":"pass"})");
      break;
    case FaultKind::StoreDown:
    case FaultKind::StoreSlow:
    case FaultKind::StoreLosesReplies:
      System.setStore(R"({"down":false,"delay_ms":0,"lost_reply_share":0})");
      break;
    case FaultKind::StaleReports:
      System.admin(name, R"({"report_lag_ms":20})");
      break;
    case FaultKind::EngineLeaves:
      System.restart(name);
      System.setInstance(name, InstanceState::Live);
      break;
    case FaultKind::LateOrder:
      if (!KilledHolder.empty())
        System.restart(std::exchange(KilledHolder, ""));
      break;
    }
    record(f, name, "end");
  }

private:
  /// Delays the next order of the lease holder and kills the holder once it has
  /// written the order to the socket, so that the order arrives after those of
  /// the next holder.
  void beginLateOrder() {
    std::string holder = leaseHolderOf(System, Pool);
    std::string file = System.options().Folder + "/" + holder + ".history";
    size_t sentBefore = countSentOrders(file);
    setOrderDelay(R"({"order_delay_ms":2800})");
    MonoTime end = MonoClock::now() + OrderSendTimeout;
    bool sent = false;
    while (!sent && MonoClock::now() < end) {
      std::this_thread::sleep_for(OrderPollInterval);
      sent = countSentOrders(file) > sentBefore;
    }
    if (sent) {
      std::this_thread::sleep_for(OrderPollInterval);
      System.process(holder).kill();
      KilledHolder = holder;
    }
    setOrderDelay(R"({"order_delay_ms":0})");
  }

  void setOrderDelay(const char *json) {
    for (const std::string &it : System.engines())
      System.admin(it, json);
  }

  /// Returns the number of orders that a history file records as sent.
  static size_t countSentOrders(const std::string &file) {
    std::ifstream in(file);
    size_t n = 0;
    for (std::string line; std::getline(in, line);)
      n += line.find("\"order-sent\"") != std::string::npos ? 1 : 0;
    return n;
  }

  std::string selectTarget(const Fault &f) {
    auto pick = [&](const std::vector<std::string> &names) {
      return names[f.Target % names.size()];
    };
    switch (f.Kind) {
    case FaultKind::KillEntry:
    case FaultKind::PauseEntry:
    case FaultKind::StopEntry:
      return pick(System.entries());
    case FaultKind::KillHolder:
    case FaultKind::PauseHolder:
      return leaseHolderOf(System, Pool);
    case FaultKind::StopController:
    case FaultKind::CutController:
      return pick(System.controllers());
    case FaultKind::CutFromStore:
      return f.Target % 2 == 0 ? pick(System.entries())
                               : pick(System.controllers());
    case FaultKind::KillService:
      return pick(System.services());
    case FaultKind::StoreDown:
    case FaultKind::StoreSlow:
    case FaultKind::StoreLosesReplies:
      return "store";
    default:
      return pick(System.engines());
    }
  }

  void record(const Fault &f, const std::string &name, const char *phase) {
    Recorder.record({.Kind = timeline::EventKind::FaultBrought,
                     .Engine = name,
                     .Detail = std::string(toString(f.Kind)) + " " + phase});
  }

  Deployment &System;
  std::string Pool;
  timeline::Recorder &Recorder;
  std::string KilledHolder;
  std::set<std::string> Stopping;
};

rc::Gen<Fault> faultGen(Milliseconds length) {
  auto lengthMs = static_cast<int>(length.count());
  return rc::gen::map(
      rc::gen::tuple(rc::gen::inRange<size_t>(0, NumFaultKinds),
                     rc::gen::inRange<unsigned>(0, 64),
                     rc::gen::inRange(0, lengthMs * 6 / 10),
                     rc::gen::inRange(lengthMs / 10, lengthMs * 4 / 10)),
      [](const std::tuple<size_t, unsigned, int, int> &t) {
        Fault f;
        f.Kind = static_cast<FaultKind>(std::get<0>(t));
        f.Target = std::get<1>(t);
        f.At = Milliseconds(std::get<2>(t));
        f.Length = Milliseconds(std::get<3>(t));
        return f;
      });
}

} // namespace

std::string_view toString(FaultKind k) {
  return FaultKindNames[static_cast<size_t>(k)];
}

FaultSchedule makeSchedule(uint64_t seed, Milliseconds length) {
  rc::Random random(seed);
  rc::Random sizes = random.split();
  int n = rc::gen::inRange(1, MaxFaults + 1)(sizes, rc::kNominalSize).value();
  FaultSchedule out;
  rc::Gen<Fault> gen = faultGen(length);
  for (int i = 0; i < n; ++i)
    out.push_back(gen(random.split(), rc::kNominalSize).value());
  return out;
}

std::string describe(const FaultSchedule &s) {
  std::string out;
  for (const Fault &it : s)
    out +=
        fmt::format("{}{}#{}@{}+{}", out.empty() ? "" : " ", toString(it.Kind),
                    it.Target, it.At.count(), it.Length.count());
  return out;
}

void injectFaults(Deployment &d, const FaultSchedule &s,
                  const std::string &pool, timeline::Recorder &recorder) {
  struct Step {
    Milliseconds At;
    size_t Fault;
    bool IsBegin;
  };
  std::vector<Step> steps;
  for (size_t i = 0; i < s.size(); ++i) {
    steps.push_back({s[i].At, i, true});
    steps.push_back({s[i].At + s[i].Length, i, false});
  }
  std::stable_sort(steps.begin(), steps.end(),
                   [](const Step &a, const Step &b) { return a.At < b.At; });
  FaultInjector injector(d, pool, recorder);
  std::vector<std::string> names(s.size());
  MonoTime start = MonoClock::now();
  for (const Step &it : steps) {
    std::this_thread::sleep_until(start + it.At);
    if (it.IsBegin)
      names[it.Fault] = injector.begin(s[it.Fault]);
    else
      injector.end(s[it.Fault], names[it.Fault]);
  }
}

} // namespace sardineford::standins
