#include "Duties/DutyRunner.h"

#include "Sardineford/Common/Log.h"
#include "Sardineford/Common/Random.h"
#include "Sardineford/Store/Write.h"

#include <algorithm>

namespace sardineford::duties {

namespace {

using log::Category;
using log::Level;

constexpr const char *DutyKind = "sardineford-duties";
constexpr const char *LeaseName = "lease";
constexpr const char *CheckpointName = "usage-counts";
constexpr Milliseconds StepInterval{100};
/// Time until the next step after a call to the store that failed.
constexpr Milliseconds ErrorDelay{500};
/// Interval at which contenders read the lease.
constexpr Milliseconds ReadInterval{500};
/// Shortest time between two writes of the lease.
constexpr Milliseconds MinWriteInterval{200};
/// Limit of a write whose outcome is unknown. The lease is still valid then.
constexpr Milliseconds WriteTimeout{1'000};
constexpr Milliseconds SendInterval{500};
/// Interval over which the demand on servers is averaged.
constexpr Milliseconds DemandInterval{1'000};
constexpr Milliseconds CheckpointInterval{1'000};
/// A process that is not among the contenders for this long stops being one.
/// Shorter times come from peers whose reports were late.
constexpr Milliseconds RankGrace{3'000};
/// Peers send their counts to a new contender within this time.
constexpr Milliseconds FirstCountsTime{1'000};
/// Limit of a call, and the time that remains of the lease when it ends.
constexpr Milliseconds MaxCallTime{700};
constexpr Milliseconds MinCallTime{150};
constexpr Milliseconds CallMargin{200};
/// Time until the next call after one that failed.
constexpr Milliseconds RetryDelay{500};
/// Most calls that are made, whatever the platform allows.
constexpr double MaxCallsPerSecond = 10;

} // namespace

std::string_view toString(CallResult r) {
  switch (r) {
  case CallResult::Done:
    return "done";
  case CallResult::Fenced:
    return "fenced";
  case CallResult::RateLimited:
    return "rate_limited";
  case CallResult::Failed:
    return "failed";
  case CallResult::NotSent:
    return "not_sent";
  case CallResult::NoAnswer:
    return "no_answer";
  }
  return "unknown";
}

DutyRunner::DutyRunner(IoContext &io, store::ObjectStore &store, DutyApi &api,
                       DutyOptions options, DutyPeers peers,
                       metrics::Metrics &metrics)
    : Io(io), Store(store), Api(api), Options(std::move(options)),
      Peers(std::move(peers)), Metrics(metrics),
      Day(BootClock::now(), WallClock::now()), Counter(Options.Windows),
      Totals(Options.Windows) {
  State.Name = Options.Name;
  State.Incarnation = Options.Incarnation;
  registerGauges();
}

void DutyRunner::registerGauges() {
  auto gauge = [this](const char *name, std::function<double()> read) {
    Metrics.gauge(name, {}, std::move(read));
  };
  gauge("sardineford_duty_held_seconds", [this] {
    return isValidHolder() ? toSeconds(BootClock::now() - HeldSince) : 0.0;
  });
  gauge("sardineford_duty_token", [this] {
    return State.IsHolder ? static_cast<double>(State.Record.Epoch) : 0.0;
  });
  gauge("sardineford_usage_reports_waiting", [this] {
    return State.IsHolder ? static_cast<double>(State.Record.Pending.size())
                          : 0.0;
  });
  gauge("sardineford_usage_last_window",
        [this] { return static_cast<double>(LastReported); });
}

Milliseconds DutyRunner::time() {
  return Day.time(BootClock::now(), WallClock::now());
}

bool DutyRunner::isValidHolder() const {
  return State.IsHolder && BootClock::now() < State.ValidUntil;
}

void DutyRunner::start() {
  spawn(Io, "duty-lease", [this] { return leaseLoop(); });
  spawn(Io, "duty-counts", [this] { return countLoop(); });
  spawn(Io, "duty-checkpoint", [this] { return checkpointLoop(); });
}

void DutyRunner::count(const std::string &workspace) {
  Counter.count(workspace, time());
}

void DutyRunner::receive(const std::string &incarnation,
                         const std::vector<WindowCount> &counts) {
  if (!IsContender)
    return;
  Milliseconds now = time();
  for (const WindowCount &it : counts)
    if (!Totals.merge(incarnation, it, now))
      Metrics.count("sardineford_usage_counts_ignored_total", {});
}

void DutyRunner::sendCounts() {
  std::vector<http::Endpoint> recipients = Peers.Contenders();
  if (recipients != Recipients) {
    Recipients = std::move(recipients);
    Counter.sendAll();
  }
  if (Recipients.empty())
    return;
  std::vector<WindowCount> counts = Counter.takeUnsent(time());
  receive(Options.Incarnation, counts);
  for (const std::vector<WindowCount> &it : splitCounts(std::move(counts)))
    Peers.Send(it, Recipients);
}

void DutyRunner::receiveWork(const std::string &incarnation,
                             const std::vector<ServiceWork> &work) {
  if (IsContender && Options.OrdersServers)
    Orders.merge(incarnation, work, MonoClock::now());
}

void DutyRunner::sendWork() {
  std::vector<ServiceWork> work;
  for (OrderableService &it : Peers.Services())
    work.push_back({std::move(it.Name), it.Done});
  if (work.empty())
    return;
  receiveWork(Options.Incarnation, work);
  if (!Recipients.empty())
    Peers.SendWork(work, Recipients);
  BootTime now = BootClock::now();
  if (now - IntervalAt < DemandInterval)
    return;
  IntervalAt = now;
  Orders.endInterval(MonoClock::now());
}

Awaitable<void> DutyRunner::countLoop() {
  for (;;) {
    co_await sleepFor(SendInterval);
    sendCounts();
    if (Options.OrdersServers)
      sendWork();
  }
}

void DutyRunner::updateRank(BootTime now) {
  std::optional<unsigned> rank = Peers.Rank();
  if (rank && *rank < Contenders)
    ContenderAt = now;
  bool isContender = ContenderAt && now - *ContenderAt < RankGrace;
  if (isContender == IsContender)
    return;
  IsContender = isContender;
  Milliseconds listensFrom = time() + FirstCountsTime;
  Coverage = {Options.Windows.at(listensFrom) + 1, {}};
  Orders.reset();
  Counter.sendAll();
}

Awaitable<void> DutyRunner::leaseLoop() {
  bool failed = false;
  for (;;) {
    co_await sleepFor(failed ? ErrorDelay : StepInterval);
    failed = false;
    try {
      co_await step();
    } catch (const std::exception &e) {
      failed = true;
      Metrics.count("sardineford_duty_errors_total", {});
      log::event(Category::Fleet, Level::Debug, "duty_error",
                 {{"error", std::string_view(e.what())}});
    }
  }
}

Awaitable<void> DutyRunner::step() {
  BootTime now = BootClock::now();
  updateRank(now);
  if (!State.IsHolder) {
    if (IsContender && !Stopping)
      co_await compete(now);
    co_return;
  }
  if (!State.IsRecordKnown) {
    co_await read();
    co_return;
  }
  if (Stopping || State.IsFenced || !IsContender) {
    co_await release();
    co_return;
  }
  if (!IsCheckpointRead)
    co_await readCheckpoint();
  co_await renew(BootClock::now());
  co_await sendReport();
  if (Options.OrdersServers)
    co_await sendOrder();
}

Awaitable<void> DutyRunner::read() {
  ReadAt = BootClock::now();
  std::optional<store::Object> found = co_await Store.get(DutyKind, LeaseName);
  LeaseRecord record;
  if (found)
    record = decodeLease(found->Value);
  bool wasHolder = State.IsHolder;
  applyRead(State, Options.Times, record, found ? found->Version : 0,
            BootClock::now());
  if (EraSeen != State.Era) {
    EraSeen = State.Era;
    EraSeenTime = time();
  }
  if (!wasHolder && State.IsHolder) {
    IsCheckpointRead = false;
    HeldSince = BootClock::now();
  }
  if (wasHolder && !State.IsHolder)
    log::event(
        Category::Fleet, Level::Warning, "duty_lost",
        {{"holder", State.Record.Holder}, {"token", State.Record.Epoch}});
}

Awaitable<void> DutyRunner::compete(BootTime now) {
  if (!State.IsRecordKnown || now - ReadAt >= ReadInterval)
    co_await read();
  std::optional<unsigned> rank = Peers.Rank();
  now = BootClock::now();
  if (!rank || !mayTakeOver(State, Options.Times, *rank, now))
    co_return;
  std::string former = State.Record.Holder;
  co_await write(makeTakeover(State));
  if (!State.IsHolder)
    co_return;
  HeldSince = BootClock::now();
  IsCheckpointRead = false;
  Answered.clear();
  Metrics.count("sardineford_duty_takeovers_total", {});
  log::event(
      Category::Fleet, Level::Info, "duty_taken",
      {{"token", State.Record.Epoch},
       {"former_holder", former},
       {"silent_ms", toMilliseconds(State.SilentUntil - HeldSince).count()},
       {"pending_reports", State.Record.Pending.size()}});
}

Awaitable<void> DutyRunner::write(LeaseRecord record) {
  record.WriteId = makeId();
  BootTime start = BootClock::now();
  WrittenAt = start;
  store::IsOwnWrite isOwn = [id = record.WriteId](const std::string &value) {
    return decodeLease(value).WriteId == id;
  };
  store::Object object{DutyKind, LeaseName, State.Version, encodeLease(record)};
  MonoTime deadline = MonoClock::now() + WriteTimeout;
  uint64_t version = 0;
  try {
    version = co_await store::putWithReadBack(Store, std::move(object), isOwn,
                                              deadline);
  } catch (...) {
    // Also a write that is said to have had no effect: the record is read
    // before anything else is done.
    applyUnknownWrite(State);
    throw;
  }
  applyWritten(State, Options.Times, record, version, start, BootClock::now());
  if (EraSeen != State.Era) {
    EraSeen = State.Era;
    EraSeenTime = time();
  }
}

Awaitable<void> DutyRunner::renew(BootTime now) {
  const LeaseRecord &held = State.Record;
  std::vector<FixedReport> pending;
  for (const FixedReport &it : held.Pending)
    if (!Answered.contains(it.Window))
      pending.push_back(it);
  int64_t lastFixed =
      lastFixedWindow(held, *State.Era, Options.Windows.at(EraSeenTime));
  DueWindows due;
  due.LastFixed = lastFixed;
  if (IsCheckpointRead)
    due = dueWindows(Options.Windows, lastFixed, Coverage, pending.size(),
                     time());
  for (int64_t it : due.ToFix)
    pending.push_back({it, Api.encodeUsage(it, Totals.total(it))});
  std::vector<PlacedOrder> orders = held.Orders;
  if (Options.OrdersServers)
    orders = Orders.decide(held.Orders, Peers.Services(), now);
  bool hasCall = !pending.empty() || Orders.nextToSend(orders, now).has_value();
  bool isUrgent = !due.ToFix.empty() || (hasCall && !held.CallOpen) ||
                  orders != held.Orders;
  Milliseconds interval =
      isUrgent ? MinWriteInterval : Options.Times.RenewalInterval;
  if (now - WrittenAt < interval)
    co_return;
  LeaseRecord next = makeRenewal(State, Options.Times, hasCall, now);
  next.Orders = std::move(orders);
  next.Pending = std::move(pending);
  next.LastFixed = due.LastFixed;
  next.Era = *State.Era;
  co_await write(std::move(next));
  if (!State.IsRecordKnown)
    co_return;
  Answered.clear();
  Totals.removeUntil(due.LastFixed);
  if (due.Missed == 0)
    co_return;
  Metrics.count("sardineford_usage_windows_missed_total", {}, due.Missed);
  log::event(Category::Fleet, Level::Warning, "usage_missed",
             {{"windows", due.Missed},
              {"last_window", due.LastFixed},
              {"complete_from", Coverage.first()},
              {"pending_reports", State.Record.Pending.size()}});
}

Awaitable<void> DutyRunner::release() {
  if (IsCheckpointRead && isValidHolder())
    try {
      co_await writeCheckpoint();
    } catch (const std::exception &e) {
      log::event(Category::Fleet, Level::Warning, "checkpoint_failed",
                 {{"error", std::string_view(e.what())}});
    }
  LeaseRecord next = makeRelease(State, Options.Times, BootClock::now());
  std::erase_if(next.Pending, [this](const FixedReport &it) {
    return Answered.contains(it.Window);
  });
  co_await write(std::move(next));
  log::event(Category::Fleet, Level::Info, "duty_released",
             {{"token", State.Record.Epoch},
              {"fenced", State.IsFenced},
              {"stopping", Stopping}});
}

std::optional<Milliseconds> DutyRunner::callTime(BootTime now) const {
  if (now < NextCallAt || !mayCall(State, now))
    return std::nullopt;
  Milliseconds out = std::min(
      MaxCallTime, toMilliseconds(State.ValidUntil - now) - CallMargin);
  return out < MinCallTime ? std::nullopt : std::make_optional(out);
}

std::function<bool()> DutyRunner::sendCheck(Milliseconds timeout) {
  // A process that was frozen after the decision to call sends nothing.
  return [this, timeout] {
    BootTime sentAt = BootClock::now();
    if (!mayCall(State, sentAt) || sentAt + timeout >= State.ValidUntil)
      return false;
    State.LastCallAt = sentAt;
    return true;
  };
}

Awaitable<void> DutyRunner::sendReport() {
  auto it = std::find_if(
      State.Record.Pending.begin(), State.Record.Pending.end(),
      [this](const FixedReport &r) { return !Answered.contains(r.Window); });
  BootTime now = BootClock::now();
  std::optional<Milliseconds> timeout = callTime(now);
  if (it == State.Record.Pending.end() || !timeout)
    co_return;
  FixedReport report = *it;
  uint64_t token = State.Record.Epoch;
  UsageCall call{Options.Name, token, report.Body, *timeout,
                 sendCheck(*timeout)};
  double rate = std::min(Options.CallsPerSecond, MaxCallsPerSecond);
  NextCallAt = now + toMilliseconds(Seconds(1 / rate));
  CallResult result = co_await Api.reportUsage(std::move(call));
  recordResult(report, token, result);
}

Awaitable<void> DutyRunner::sendOrder() {
  BootTime now = BootClock::now();
  std::optional<PlacedOrder> order =
      Orders.nextToSend(State.Record.Orders, now);
  std::optional<Milliseconds> timeout = callTime(now);
  if (!order || !timeout)
    co_return;
  uint64_t token = State.Record.Epoch;
  double rate = std::min(Options.CallsPerSecond, MaxCallsPerSecond);
  NextCallAt = now + toMilliseconds(Seconds(1 / rate));
  OrderCall call{Options.Name, token, *order, *timeout, sendCheck(*timeout)};
  CallResult result = co_await Api.orderServers(std::move(call));
  now = BootClock::now();
  bool isDone = result == CallResult::Done;
  Orders.recordResult(*order, isDone, now);
  // Either no servers are available, or another process holds the lease: the
  // record tells, before the next call.
  if (result == CallResult::Fenced)
    applyUnknownWrite(State);
  Metrics.count(
      "sardineford_server_orders_total",
      {{"service", order->Service}, {"result", std::string(toString(result))}});
  log::event(Category::Fleet, isDone ? Level::Info : Level::Warning,
             "server_order",
             {{"service", order->Service},
              {"failure_domain", order->FailureDomain},
              {"servers", order->Servers},
              {"token", token},
              {"result", toString(result)}});
}

void DutyRunner::recordResult(const FixedReport &report, uint64_t token,
                              CallResult result) {
  BootTime now = BootClock::now();
  Milliseconds age = time() - Options.Windows.endOf(report.Window);
  bool isDone = result == CallResult::Done;
  if (isDone) {
    Answered.insert(report.Window);
    LastReported = report.Window;
  } else {
    NextCallAt = std::max(NextCallAt, now + RetryDelay);
  }
  if (result == CallResult::Fenced)
    applyFenced(State);
  Metrics.count("sardineford_usage_reports_total",
                {{"result", std::string(toString(result))}});
  bool isLate = age > Options.DueAfter;
  log::event(Category::Fleet, isDone && !isLate ? Level::Info : Level::Warning,
             "usage_report",
             {{"window", report.Window},
              {"token", token},
              {"result", toString(result)},
              {"age_ms", age.count()},
              {"late", isLate}});
}

Awaitable<void> DutyRunner::readCheckpoint() {
  std::optional<store::Object> found =
      co_await Store.get(DutyKind, CheckpointName);
  CheckpointVersion = found ? found->Version : 0;
  try {
    if (found)
      Coverage.Predecessor = Totals.mergeCheckpoint(found->Value, time());
  } catch (const std::exception &e) {
    log::event(Category::Fleet, Level::Error, "checkpoint_unreadable",
               {{"error", std::string_view(e.what())}});
  }
  IsCheckpointRead = true;
}

Awaitable<void> DutyRunner::writeCheckpoint() {
  int64_t present = Options.Windows.at(time());
  uint64_t changes = Totals.changes();
  if (changes == CheckpointChanges && present == CheckpointWindow)
    co_return;
  std::string text = Totals.encode(Coverage.first(), present);
  try {
    CheckpointVersion = co_await Store.put(DutyKind, CheckpointName,
                                           std::move(text), CheckpointVersion);
    CheckpointChanges = changes;
    CheckpointWindow = present;
  } catch (...) {
    // The object may have changed; it is read and merged before the next write.
    IsCheckpointRead = false;
    throw;
  }
}

Awaitable<void> DutyRunner::checkpointLoop() {
  for (;;) {
    co_await sleepFor(CheckpointInterval);
    if (!isValidHolder() || !IsCheckpointRead || Stopping)
      continue;
    try {
      co_await writeCheckpoint();
    } catch (const std::exception &e) {
      Metrics.count("sardineford_duty_errors_total", {});
      log::event(Category::Fleet, Level::Warning, "checkpoint_failed",
                 {{"error", std::string_view(e.what())}});
    }
  }
}

} // namespace sardineford::duties
