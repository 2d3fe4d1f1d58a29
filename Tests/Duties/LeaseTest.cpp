#include "Sardineford/Duties/Lease.h"

#include "Sardineford/Store/Version.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <functional>
#include <map>

using namespace sardineford;
using namespace sardineford::duties;

namespace {

constexpr Milliseconds Step{100};
constexpr Milliseconds RunTime{30'000};
constexpr Milliseconds WriteTimeout{1'000};
constexpr Milliseconds CallTimeout{700};
/// A holder has something to send for a part of this period, so that calls are
/// announced and withdrawn.
constexpr Milliseconds DemandPeriod{2'300};
constexpr Milliseconds DemandTime{900};
const LeaseTimes Times;

enum class Fault { None, Lost, ResponseLost, Late, Repeated };

/// Fault of one operation, and time for which a process does not run.
struct Schedule {
  Fault What = Fault::None;
  bool IsCall = false;
  int Operation = -1;
  Milliseconds Delay{0};
  unsigned Frozen = 0;
  Milliseconds FrozenAt{-1};
  Milliseconds FrozenFor{0};
  /// The process stops in order instead: it releases the lease and ends.
  bool Stops = false;
};

struct Executed {
  Milliseconds At{0};
  unsigned Process = 0;
  uint64_t Token = 0;
  FixedReport Report;
};

/// Two processes, a store and a platform on simulated time.
class Simulation {
public:
  explicit Simulation(const Schedule &schedule) : Plan(schedule) {
    for (unsigned i = 0; i < 2; ++i) {
      Processes[i].State.Name = i ? "b" : "a";
      Processes[i].State.Incarnation = i ? "b1" : "a1";
    }
  }

  void run() {
    for (; Now < RunTime; Now += Step) {
      auto due = [&](const auto &it) { return it.first <= Now; };
      while (!Later.empty() && due(*Later.begin())) {
        auto action = std::move(Later.begin()->second);
        Later.erase(Later.begin());
        action();
      }
      for (unsigned i = 0; i < 2; ++i) {
        bool isFrozen = i == Plan.Frozen && Now >= Plan.FrozenAt &&
                        Now < Plan.FrozenAt + Plan.FrozenFor;
        Processes[i].Stopping = isFrozen && Plan.Stops;
        if (!isFrozen || Plan.Stops)
          advance(i);
      }
    }
    std::stable_sort(
        Calls.begin(), Calls.end(),
        [](const Executed &a, const Executed &b) { return a.At < b.At; });
  }

  std::vector<Executed> Calls;

private:
  struct Process {
    LeaseState State;
    /// Handles the response, or the time-out, of the operation in progress.
    std::function<void()> Finish;
    Milliseconds FinishAt{0};
    Milliseconds WrittenAt{-10'000};
    Milliseconds ReadAt{-10'000};
    std::vector<int64_t> Answered;
    bool Stopping = false;
  };

  BootTime boot() const { return BootTime(Now + Milliseconds(1'000'000)); }

  void advance(unsigned i) {
    Process &p = Processes[i];
    if (p.Finish) {
      if (Now < p.FinishAt)
        return;
      std::exchange(p.Finish, nullptr)();
    }
    LeaseState &s = p.State;
    if (!s.IsHolder || !s.IsRecordKnown) {
      if (!s.IsRecordKnown || Now - p.ReadAt >= Milliseconds(500)) {
        p.ReadAt = Now;
        applyRead(s, Times, Stored, Version, boot());
      }
      if (!p.Stopping && mayTakeOver(s, Times, i, boot()))
        write(i, makeTakeover(s));
      return;
    }
    if (p.Stopping) {
      write(i, makeRelease(s, Times, boot()));
      return;
    }
    LeaseRecord next = makeRenewal(s, Times, false, boot());
    std::erase_if(next.Pending, [&](const FixedReport &r) {
      return std::count(p.Answered.begin(), p.Answered.end(), r.Window) > 0;
    });
    bool wants = Now % DemandPeriod < DemandTime;
    if (wants && next.Pending.empty()) {
      ++next.LastFixed;
      next.Pending.push_back({next.LastFixed, std::to_string(++Bodies)});
    }
    next.CallOpen = next.CallOpen || !next.Pending.empty();
    bool isUrgent = wants && !s.Record.CallOpen;
    if (Now - p.WrittenAt >= Times.RenewalInterval || isUrgent) {
      write(i, next);
      return;
    }
    if (!s.Record.Pending.empty() && mayCall(s, boot()) &&
        boot() + CallTimeout < s.ValidUntil)
      call(i, s.Record.Pending.front());
  }

  Fault faultOf(bool isCall) {
    int n = isCall ? NumCalls++ : NumWrites++;
    return isCall == Plan.IsCall && n == Plan.Operation ? Plan.What
                                                        : Fault::None;
  }

  void write(unsigned i, const LeaseRecord &record) {
    Process &p = Processes[i];
    p.WrittenAt = Now;
    uint64_t expected = p.State.Version;
    auto execute = [this, record, expected] {
      if (Version != expected)
        return false;
      Stored = record;
      ++Version;
      return true;
    };
    Fault fault = faultOf(false);
    bool executed = false;
    if (fault == Fault::Late)
      Later.emplace(Now + Plan.Delay, execute);
    else if (fault != Fault::Lost)
      executed = execute();
    if (fault == Fault::Repeated)
      Later.emplace(Now + Plan.Delay, execute);
    bool isUnknown = fault != Fault::None && fault != Fault::Repeated;
    p.FinishAt = Now + (isUnknown ? WriteTimeout : Step);
    p.Finish = [this, &p, record, executed, isUnknown, start = boot(),
                version = Version] {
      if (executed && !isUnknown)
        applyWritten(p.State, Times, record, version, start, boot());
      else
        applyUnknownWrite(p.State);
    };
  }

  void call(unsigned i, const FixedReport &report) {
    Process &p = Processes[i];
    p.State.LastCallAt = boot();
    Executed executed{Now, i, p.State.Record.Epoch, report};
    Fault fault = faultOf(true);
    if (fault != Fault::Lost && fault != Fault::Late)
      Calls.push_back(executed);
    executed.At += Plan.Delay;
    if (fault == Fault::Late || fault == Fault::Repeated)
      Calls.push_back(executed);
    bool isUnknown = fault != Fault::None && fault != Fault::Repeated;
    p.FinishAt = Now + (isUnknown ? CallTimeout : Step);
    p.Finish = [&p, isUnknown, window = report.Window] {
      if (!isUnknown)
        p.Answered.push_back(window);
    };
  }

  Schedule Plan;
  std::array<Process, 2> Processes;
  LeaseRecord Stored;
  uint64_t Version = 0;
  std::multimap<Milliseconds, std::function<void()>> Later;
  Milliseconds Now{0};
  int NumWrites = 0;
  int NumCalls = 0;
  int Bodies = 0;
};

/// Returns the rule that the calls break, or an empty string.
std::string findViolation(const std::vector<Executed> &calls) {
  std::map<int64_t, std::string> reports;
  for (size_t i = 0; i < calls.size(); ++i) {
    const Executed &it = calls[i];
    const auto &[known, isNew] =
        reports.emplace(it.Report.Window, it.Report.Body);
    if (known->second != it.Report.Body)
      return "two reports of one window";
    if (i > 0 && it.Token < calls[i - 1].Token)
      return "a lower token after a higher one";
    bool otherSeen = false;
    for (size_t j = i; j-- > 0;) {
      const Executed &earlier = calls[j];
      if (it.At - earlier.At > Times.PlatformLease)
        break;
      otherSeen = otherSeen || earlier.Process != it.Process;
      if (otherSeen && earlier.Process == it.Process)
        return "calls of holders A, B, A";
      if (earlier.Token == it.Token && earlier.Process != it.Process)
        return "two holders with one token";
    }
  }
  return "";
}

std::vector<Schedule> faultSchedules() {
  std::vector<Schedule> out = {{}};
  for (int operation = 0; operation < 24; ++operation)
    for (bool isCall : {false, true}) {
      out.push_back({Fault::Lost, isCall, operation});
      out.push_back({Fault::ResponseLost, isCall, operation});
      for (int delay : {600, 1'300, 2'600, 3'900}) {
        out.push_back({Fault::Late, isCall, operation, Milliseconds(delay)});
        out.push_back(
            {Fault::Repeated, isCall, operation, Milliseconds(delay)});
      }
    }
  return out;
}

} // namespace

// Guards against two processes that act at once, or a call that is executed
// after those of a successor, under any one fault of an operation together with
// one pause, end or orderly stop of either process at any time. A stop of
// 900 ms is a process that competes again at once.
TEST_CASE("no schedule of faults and pauses makes two holders act") {
  int runs = 0;
  std::map<std::string, int> violations;
  for (const Schedule &fault : faultSchedules())
    for (unsigned process : {0U, 1U})
      for (int at = 0; at < 16'000; at += 700)
        for (int length : {1'500, 5'200, 9'000, 60'000, -900, -60'000}) {
          Schedule schedule = fault;
          schedule.Frozen = process;
          schedule.FrozenAt = Milliseconds(at);
          schedule.FrozenFor = Milliseconds(std::abs(length));
          schedule.Stops = length < 0;
          Simulation simulation(schedule);
          simulation.run();
          ++runs;
          std::string violation = findViolation(simulation.Calls);
          if (!violation.empty() && violations[violation]++ == 0)
            UNSCOPED_INFO(violation
                          << ": fault " << static_cast<int>(fault.What)
                          << " call " << fault.IsCall << " operation "
                          << fault.Operation << " delay " << fault.Delay.count()
                          << " process " << process << " at " << at << " for "
                          << length);
        }
  INFO(runs << " schedules");
  CHECK(violations.empty());
}

// Guards against a lease that is safe because nobody acts.
TEST_CASE("the other process acts after the holder has ended") {
  Schedule schedule;
  schedule.FrozenAt = Milliseconds(8'000);
  schedule.FrozenFor = RunTime;
  Simulation simulation(schedule);
  simulation.run();
  REQUIRE_FALSE(simulation.Calls.empty());
  CHECK(simulation.Calls.front().Process == 0);
  CHECK(simulation.Calls.back().Process == 1);
  auto first = std::find_if(simulation.Calls.begin(), simulation.Calls.end(),
                            [](const Executed &it) { return it.Process == 1; });
  CHECK(first->At < Milliseconds(8'000) + Times.Duration + Times.Margin +
                        Times.RankDelay + Times.LateExecution + DemandPeriod);
}

namespace {

LeaseState holderOf(uint64_t version, BootTime now) {
  LeaseState state;
  state.Name = "a";
  state.Incarnation = "a1";
  LeaseRecord record;
  record.Holder = "a";
  record.Incarnation = "a1";
  record.Epoch = 7;
  record.CallOpen = true;
  applyRead(state, Times, {}, version, now);
  applyWritten(state, Times, record, version + 1, now, now);
  return state;
}

} // namespace

// Guards against lower tokens, and second reports of a window, from a store
// that has come back from an older copy.
TEST_CASE("a restored store leads to a higher token and no old window") {
  BootTime start{std::chrono::hours(1)};
  LeaseState state = holderOf(store::makeVersion(0, 10), start);
  BootTime now = start + Times.LateExecution - Milliseconds(100);
  now = std::min(now, state.ValidUntil - Milliseconds(1));
  LeaseRecord old = state.Record;
  old.ReleasedInEra = 0;
  old.LastFixed = 100;
  applyRead(state, Times, old, store::makeVersion(1, 10), now);
  CHECK_FALSE(state.IsHolder);
  CHECK_FALSE(mayCall(state, now));
  // The release of the old copy may have been superseded.
  CHECK_FALSE(mayTakeOver(state, Times, 0, now + Times.Duration));
  LeaseRecord next = makeTakeover(state);
  CHECK(next.Epoch > (uint64_t{1} << 20));
  CHECK(next.CallOpen);
  CHECK(lastFixedWindow(old, 1, 105) == 105);
  CHECK(lastFixedWindow(old, 0, 105) == 100);
}

// Guards against calls with a token that the platform has rejected, and against
// calls after the lease has ended on the clock that counts suspended time.
TEST_CASE("a fenced or expired holder makes no call") {
  BootTime start{std::chrono::hours(1)};
  LeaseState state = holderOf(store::makeVersion(0, 10), start);
  BootTime afterSilence = state.SilentUntil;
  applyWritten(state, Times, state.Record, store::makeVersion(0, 12),
               afterSilence, afterSilence);
  CHECK(mayCall(state, afterSilence));
  CHECK_FALSE(mayCall(state, afterSilence - Milliseconds(1)));
  CHECK_FALSE(mayCall(state, afterSilence + Times.Duration));
  LeaseState unknown = state;
  applyUnknownWrite(unknown);
  CHECK_FALSE(mayCall(unknown, afterSilence));
  applyFenced(state);
  CHECK_FALSE(mayCall(state, afterSilence));
}

// Guards against calls while an earlier write may still withdraw the
// announcement of a call, and against calls of this process on both sides of
// those of a holder in between.
TEST_CASE("a holder writes after a read, and waits to hold the lease again") {
  BootTime start{std::chrono::hours(1)};
  LeaseState state = holderOf(store::makeVersion(0, 10), start);
  BootTime now = state.SilentUntil;
  state.LastCallAt = now;
  applyUnknownWrite(state);
  applyRead(state, Times, state.Record, state.Version, now);
  CHECK(state.IsHolder);
  CHECK_FALSE(mayCall(state, now));
  applyWritten(state, Times, state.Record, store::makeVersion(0, 12), now, now);
  CHECK(mayCall(state, now));
  LeaseRecord other = state.Record;
  other.Incarnation = "b1";
  ++other.Epoch;
  other.ReleasedInEra = 0;
  applyRead(state, Times, other, store::makeVersion(0, 14), now);
  BootTime free = now + Times.LateExecution + Times.PlatformLease;
  CHECK_FALSE(mayTakeOver(state, Times, 0, free - Milliseconds(1)));
  CHECK(mayTakeOver(state, Times, 0, free));
  CHECK_FALSE(mayTakeOver(state, Times, Contenders, free));
}

TEST_CASE("a lease record is read back as it was written") {
  LeaseRecord record{"a", "a1", 7, 3, true, 2, 1, 99, {{98, "{\"x\":1}"}}, "w"};
  CHECK(decodeLease(encodeLease(record)) == record);
}
