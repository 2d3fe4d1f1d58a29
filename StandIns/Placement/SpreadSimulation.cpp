#include "StandIns/Placement/SpreadSimulation.h"

#include "Fleet/Feed.h"
#include "Peers/PeerSet.h"
#include "Sardineford/Common/Random.h"
#include "Sardineford/Store/Version.h"
#include "StandIns/Placement/EventQueue.h"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace sardineford::standins {

namespace {

using fleet::PeerComparison;

constexpr Milliseconds StoreLatency{5};
constexpr Milliseconds ReadTime{20};
constexpr Milliseconds WatchTimeout{2'000};
constexpr Milliseconds MinWatchTimeout{1'500};
constexpr Milliseconds BatchDelay{250};
constexpr Milliseconds DutyCheckInterval{100};
constexpr Milliseconds MaxPositionWait{800};
constexpr Milliseconds Turn{250};
constexpr Milliseconds RepeatInterval{500};
constexpr Milliseconds RelayedReportAge{700};
constexpr Milliseconds RetryDelay{100};
/// Servers write lost entries again with their next heartbeats.
constexpr Milliseconds RewriteTime{1'200};

struct Report {
  size_t From = 0;
  fleet::FeedView View;
  unsigned Rank = 0;
  bool WantsAnswer = false;
};

struct SimulatedProcess {
  explicit SimulatedProcess(const peers::RunningProcess &local)
      : Peers(local), Local(local) {}

  fleet::Feed Feed;
  peers::PeerSet Peers;
  peers::RunningProcess Local;
  peers::PeerSet::Recipients LastRecipients;
  std::vector<http::Endpoint> Ranked;
  std::optional<fleet::FleetPosition> Position;
  std::map<size_t, MonoTime> GroupReports;
  std::map<size_t, Report> ToRelay;
  std::set<size_t> ReplyTo;
  MonoTime ListedAt{};
  MonoTime ReportedAt{};
  MonoTime RelayedAt{};
  fleet::FeedView LastSent;
  /// A watch call that waits for changes, numbered.
  unsigned WatchCall = 0;
  bool IsCallOpen = false;
  MonoTime StartedAt{};
  bool HasNoticedOutage = false;
};

using ProcessPtr = std::shared_ptr<SimulatedProcess>;

class Simulation : EventQueue {
public:
  explicit Simulation(const SpreadSimulationOptions &o)
      : EventQueue(o.Seed), Options(o), Processes(o.Processes) {}

  SpreadOutcome run() {
    for (size_t i = 0; i < Processes.size(); ++i)
      at(randomTime(Milliseconds(300)), [this, i] { start(i); });
    change();
    at(Options.DeathsAt, [this] {
      Out.Reads = Out.Watches = Out.ChangeDatagrams = 0;
      dieSoonAfterChange();
    });
    at(Options.DeathsAt + Options.SecondDeathsAfter,
       [this] { dieSoonAfterChange(); });
    if (Options.RestoreAt > Milliseconds(0))
      at(Options.RestoreAt, [this] { restore(); });
    if (Options.OutageAt > Milliseconds(0))
      at(Options.OutageAt, [this] { goAway(); });
    runUntil(MonoTime{} + Options.Length);
    countDelays();
    return std::move(Out);
  }

private:
  static http::Endpoint addressOf(size_t i) {
    return {"10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250),
            7000};
  }

  size_t indexOf(const http::Endpoint &address) const {
    return Indexes.at(address);
  }

  bool isCurrent(size_t i, const ProcessPtr &p) const {
    return Processes[i] == p;
  }

  // Store.

  void change() {
    if (now() + Milliseconds(4'000) < MonoTime{} + Options.Length)
      writeObject();
    at(Milliseconds(1) + randomTime(Options.ChangeInterval * 2),
       [this] { change(); });
  }

  bool isAway() const { return now() < AwayUntil; }

  /// The version that a process gives to a revision.
  uint64_t versionOf(uint64_t revision) const {
    return Options.KnowsEras ? store::makeVersion(Era, revision) : revision;
  }

  /// Writes an object with a new name, or again one that the store has lost.
  void writeObject(std::string name = "") {
    if (isAway())
      return;
    ++Revision;
    if (name.empty())
      name = "server-" + std::to_string(WrittenAt.size());
    // The value tells writes apart whose versions are equal.
    Objects.push_back({"", std::move(name), versionOf(Revision),
                       std::to_string(WrittenAt.size())});
    WrittenAt.push_back(now());
    for (size_t i = 0; i < Processes.size(); ++i)
      if (Processes[i] && Processes[i]->IsCallOpen)
        answerWatch(i, Processes[i], Processes[i]->WatchCall);
  }

  void restore() {
    AwayUntil = now() + Options.AwayTime;
    ++Era;
    std::vector<std::string> lost;
    while (!Objects.empty() && serialOf(Objects.back()) < WrittenAt.size() &&
           WrittenAt[serialOf(Objects.back())] >= now() - Options.LostTime) {
      lost.push_back(Objects.back().Name);
      Lost.insert(serialOf(Objects.back()));
      Objects.pop_back();
      --Revision;
    }
    if (Options.KnowsEras)
      for (size_t i = 0; i < Objects.size(); ++i)
        Objects[i].Version = versionOf(i + 1);
    for (const ProcessPtr &it : Processes)
      if (it)
        it->IsCallOpen = false;
    at(Options.AwayTime, [this] {
      for (size_t i = 0; i < Processes.size(); ++i)
        if (Processes[i] && Processes[i]->Feed.IsWatching &&
            Processes[i]->Feed.Duty.mustWatch(now()))
          read(i, Processes[i]);
    });
    for (const std::string &it : lost)
      at(Options.AwayTime + randomTime(RewriteTime),
         [this, it] { writeObject(it); });
  }

  void goAway() {
    AwayUntil = now() + Options.AwayTime;
    for (size_t i = 0; i < Processes.size(); ++i)
      if (Processes[i] && Processes[i]->IsCallOpen) {
        Processes[i]->Feed.IsWatching = false;
        read(i, Processes[i]);
      }
    at(Options.AwayTime * 2, [this] {
      for (const ProcessPtr &it : Processes)
        if (it && it->StartedAt + Options.AwayTime * 2 < AwayUntil)
          Out.UnawareOfOutage += it->HasNoticedOutage ? 0 : 1;
    });
  }

  static uint64_t serialOf(const store::Object &o) {
    return std::stoull(o.Value);
  }

  /// Returns whether a watch can go on at this point: not if the store has gone
  /// back behind it, or is seen to be of another era.
  bool isInHistory(uint64_t version) const {
    return store::eraOf(version) == store::eraOf(versionOf(0)) &&
           store::revisionOf(version) <= Revision;
  }

  void watch(size_t i, const ProcessPtr &p) {
    ++Out.Watches;
    if (isAway() || !isInHistory(p->Feed.Revision)) {
      read(i, p);
      return;
    }
    p->Feed.IsWatching = true;
    p->Feed.Comparison.reset();
    p->IsCallOpen = true;
    unsigned call = ++p->WatchCall;
    if (p->Feed.Revision < versionOf(Revision))
      answerWatch(i, p, call);
    else
      at(watchTimeout(*p), [this, i, p, call] {
        if (p->IsCallOpen && p->WatchCall == call)
          answerWatch(i, p, call);
      });
  }

  /// As FleetWatch::watchTimeout.
  Milliseconds watchTimeout(const SimulatedProcess &p) {
    double part = p.Feed.Duty.firstWatchPart();
    if (part < 1 && !p.Feed.LastWatchEmpty)
      return toMilliseconds(Seconds(MinWatchTimeout) * part);
    return std::max(MinWatchTimeout,
                    WatchTimeout / 2 + randomTime(WatchTimeout));
  }

  void answerWatch(size_t i, const ProcessPtr &p, unsigned call) {
    p->IsCallOpen = false;
    store::Changes changes{versionOf(Revision), {}};
    for (uint64_t r = store::revisionOf(p->Feed.Revision); r < Revision; ++r)
      changes.Objects.push_back(Objects[r]);
    at(StoreLatency, [this, i, p, call, changes] {
      if (!isCurrent(i, p) || p->WatchCall != call)
        return;
      p->Feed.IsWatching = false;
      p->Feed.ConfirmedAt = now();
      p->Feed.LastWatchEmpty = changes.Objects.empty();
      p->Feed.Revision = std::max(p->Feed.Revision, changes.Revision);
      learn(i, p->Feed.Objects.applyNews(changes));
      publish(i, changes);
      at(changes.Objects.empty() ? Milliseconds(0) : BatchDelay,
         [this, i, p] { follow(i, p); });
    });
  }

  void read(size_t i, const ProcessPtr &p) {
    ++Out.Reads;
    ++p->WatchCall;
    p->IsCallOpen = false;
    at(ReadTime / 2, [this, i, p] {
      if (isAway()) {
        p->Feed.Lost = true;
        p->HasNoticedOutage = true;
        at(RetryDelay, [this, i, p] {
          if (isCurrent(i, p))
            read(i, p);
        });
        return;
      }
      store::ObjectList list{versionOf(Revision), Objects};
      at(ReadTime / 2, [this, i, p, list] {
        if (!isCurrent(i, p))
          return;
        if (isOfEndedEra(p->Feed, list.Revision)) {
          read(i, p);
          return;
        }
        noteEra(p->Feed, list.Revision);
        store::Changes changes = applyList(p->Feed, list);
        p->Feed.Revision = list.Revision;
        p->Feed.ConfirmedAt = now();
        p->Feed.Lost = false;
        learn(i, changes.Objects);
        publish(i, changes);
        awaitPosition(i, p, now() + MaxPositionWait);
      });
    });
  }

  // Process, as FleetWatch::follow.

  void awaitPosition(size_t i, const ProcessPtr &p, MonoTime end) {
    if (!isCurrent(i, p))
      return;
    if (p->Position || now() >= end)
      follow(i, p);
    else
      at(Milliseconds(50), [this, i, p, end] { awaitPosition(i, p, end); });
  }

  void follow(size_t i, const ProcessPtr &p) {
    if (!isCurrent(i, p))
      return;
    if (p->Feed.Duty.mustWatch(now())) {
      watch(i, p);
      return;
    }
    at(BatchDelay, [this, i, p] {
      p->Feed.Comparison.reset();
      p->Feed.IsWatching = true;
      waitForPeers(i, p);
    });
  }

  void waitForPeers(size_t i, const ProcessPtr &p) {
    // An interruption reads by itself.
    if (!isCurrent(i, p) || !p->Feed.IsWatching)
      return;
    if (!p->Feed.Duty.mustWatch(now())) {
      at(DutyCheckInterval, [this, i, p] { waitForPeers(i, p); });
      return;
    }
    p->Feed.IsWatching = false;
    read(i, p);
  }

  void start(size_t i) {
    auto p = std::make_shared<SimulatedProcess>(
        peers::RunningProcess{"domain", addressOf(i)});
    Indexes[p->Local.Address] = i;
    p->StartedAt = now();
    Processes[i] = p;
    at(randomTime(Milliseconds(200)), [this, i, p] {
      if (!isCurrent(i, p))
        return;
      p->ListedAt = now();
      for (size_t j = 0; j < Processes.size(); ++j)
        p->Peers.addListed(addressOf(j), now());
    });
    at(Milliseconds(30), [this, i, p] { read(i, p); });
    at(randomTime(Turn), [this, i, p] { turn(i, p); });
  }

  void publish(size_t i, const store::Changes &changes) {
    ProcessPtr p = Processes[i];
    if (changes.Objects.empty())
      return;
    fleet::PublishedChanges out{false, changes, Milliseconds(0),
                                p->Feed.Objects.view()};
    if (p->Feed.Duty.mustPublish(now()))
      sendToAll(i, out);
    else if (p->Feed.Duty.watchesForOthers(now()))
      at(p->Feed.Duty.publishPatience(), [this, i, p, out] {
        if (isCurrent(i, p) && p->Feed.Published.hasNews(out.Changes))
          sendToAll(i, out);
      });
  }

  void sendToAll(size_t i, const fleet::PublishedChanges &changes) {
    const peers::PeerSet::Recipients &to = Processes[i]->LastRecipients;
    sendChanges(i, changes, false, to.SameGroup);
    sendChanges(i, changes, false, to.OtherGroups);
  }

  // Exchange, as LoadExchange.

  template <class Function> void send(size_t to, Function receive) {
    if (happens(Options.LossRatio))
      return;
    at(Milliseconds(1) + randomTime(Milliseconds(4)), [this, to, receive] {
      if (Processes[to])
        receive(*Processes[to]);
    });
  }

  void sendChanges(size_t from, const fleet::PublishedChanges &changes,
                   bool isRelayed, const std::vector<http::Endpoint> &to) {
    for (const http::Endpoint &it : to) {
      ++Out.ChangeDatagrams;
      size_t j = indexOf(it);
      send(j, [this, from, j, changes, isRelayed](SimulatedProcess &p) {
        if (isOfEndedEra(p.Feed, changes.Changes.Revision))
          return;
        p.Feed.Published.applyNews(changes.Changes);
        bool isNews = false;
        if (learnsFromPeers(p.Feed, now())) {
          noteEra(p.Feed, changes.Changes.Revision);
          std::vector<store::Object> news = applyPublished(p.Feed, changes);
          learn(j, news);
          isNews = !news.empty();
        }
        if (!isRelayed && p.Peers.isInGroup(addressOf(from)))
          sendChanges(j, changes, true, p.LastRecipients.OtherGroups);
        else if (isNews && p.LastRecipients.AreRelaysInDoubt)
          sendChanges(j, changes, true, p.LastRecipients.SameGroup);
      });
    }
  }

  void turn(size_t i, const ProcessPtr &p) {
    if (!isCurrent(i, p))
      return;
    at(Turn, [this, i, p] { turn(i, p); });
    p->LastRecipients = p->Peers.selectRecipients(now());
    updatePosition(*p);
    Report r{i, viewOf(p->Feed, now()),
             p->Position.value_or(fleet::FleetPosition{}).Rank, false};
    bool isNews = r.View.AnswerAge && r.View.Digest != p->LastSent.Digest;
    if (isNews || now() - p->ReportedAt >= RepeatInterval) {
      p->ReportedAt = now();
      p->LastSent = r.View;
      sendReport(r, p->LastRecipients.SameGroup);
    }
    for (size_t it : std::exchange(p->ReplyTo, {}))
      sendReport(r, {addressOf(it)});
    Report probe = r;
    probe.WantsAnswer = true;
    sendReport(probe, p->LastRecipients.Silent);
    if (now() - p->RelayedAt < RepeatInterval)
      return;
    p->RelayedAt = now();
    sendRelay(r, *p);
  }

  void sendReport(const Report &r, const std::vector<http::Endpoint> &to) {
    for (const http::Endpoint &it : to)
      send(indexOf(it), [this, r](SimulatedProcess &p) {
        receiveReport(p, r);
        if (r.WantsAnswer)
          p.ReplyTo.insert(r.From);
        if (!p.Peers.isInGroup(addressOf(r.From)))
          return;
        p.GroupReports[r.From] = now();
        if (r.View.Watches)
          p.ToRelay[r.From] = r;
      });
  }

  void sendRelay(const Report &local, SimulatedProcess &p) {
    std::erase_if(p.GroupReports, [&](const auto &it) {
      return now() - it.second > RelayedReportAge;
    });
    std::vector<size_t> running = {local.From};
    for (const auto &[from, time] : p.GroupReports)
      running.push_back(from);
    std::vector<Report> reports;
    if (local.View.Watches)
      reports.push_back(local);
    for (const auto &[from, report] : std::exchange(p.ToRelay, {}))
      reports.push_back(report);
    for (const http::Endpoint &it : p.LastRecipients.OtherGroups)
      send(indexOf(it), [this, running, reports](SimulatedProcess &to) {
        for (size_t j : running)
          to.Peers.recordReport({"domain", addressOf(j)}, now());
        for (const Report &r : reports)
          receiveReport(to, r);
      });
  }

  void receiveReport(SimulatedProcess &p, const Report &r) {
    if (addressOf(r.From) == p.Local.Address)
      return;
    p.Peers.recordReport({"domain", addressOf(r.From)}, now());
    if (r.View.Watches)
      p.Feed.Duty.recordWatcher(r.Rank, now(), randomShare());
    if (r.View.Watches && !r.View.AnswerAge && r.View.Digest != 0)
      p.Feed.Duty.recordLoss(r.Rank, now());
    if (r.View.AnswerAge)
      recordAnswer(p, r.Rank, now() - *r.View.AnswerAge);
    if (compareWithPeer(p.Feed, r.View, now()) ==
        PeerComparison::Difference::None)
      return;
    p.Feed.IsWatching = false;
    size_t i = indexOf(p.Local.Address);
    read(i, Processes[i]);
  }

  /// As FleetWatch::recordPeerAnswer.
  void recordAnswer(SimulatedProcess &p, unsigned rank, MonoTime answeredAt) {
    fleet::StoreAbsence absence = p.Feed.Duty.storeAbsence(answeredAt);
    p.Feed.Duty.recordPeerAnswer(rank, answeredAt, now(), randomShare());
    if (absence == fleet::StoreAbsence::None || p.Feed.Duty.mustWatch(now()))
      return;
    p.HasNoticedOutage = true;
    bool isCertain = absence == fleet::StoreAbsence::Certain;
    ++(isCertain ? Out.CertainAbsences : Out.PossibleAbsences);
  }

  double randomShare() { return std::uniform_real_distribution<>()(random()); }

  void updatePosition(SimulatedProcess &p) {
    if (p.ListedAt == MonoTime{})
      return;
    std::vector<http::Endpoint> running = p.Peers.expectedProcesses(now());
    if (running == p.Ranked)
      return;
    p.Ranked = std::move(running);
    uint64_t local = hash64(http::toString(p.Local.Address));
    auto before = std::count_if(p.Ranked.begin(), p.Ranked.end(),
                                [&](const http::Endpoint &it) {
                                  return hash64(http::toString(it)) < local;
                                });
    bool isFirst = !p.Position;
    p.Position = {static_cast<unsigned>(p.Ranked.size()),
                  static_cast<unsigned>(before)};
    p.Feed.Duty.setPosition(*p.Position);
    if (isFirst)
      p.Feed.Duty.expectWatchers(now(), randomShare());
  }

  // Deaths.

  /// Lets processes die while the watchers pass on a change that was just made.
  void dieSoonAfterChange() {
    if (Options.DeathRatio <= 0)
      return;
    writeObject();
    at(randomTime(StoreLatency * 2), [this] { die(); });
  }

  void die() {
    std::vector<size_t> victims;
    for (size_t i = 0; i < Processes.size(); ++i)
      if (Processes[i])
        victims.push_back(i);
    auto count = static_cast<size_t>(static_cast<double>(victims.size()) *
                                     Options.DeathRatio);
    std::shuffle(victims.begin(), victims.end(), random());
    auto rankOf = [&](size_t i) {
      const SimulatedProcess &p = *Processes[i];
      bool watches = p.Position && p.Feed.Duty.mustWatch(now());
      return watches ? 0 : 1;
    };
    std::stable_sort(victims.begin(), victims.end(),
                     [&](size_t a, size_t b) { return rankOf(a) < rankOf(b); });
    victims.resize(count);
    for (size_t it : victims) {
      Processes[it] = nullptr;
      at(Options.RestartTime + randomTime(Milliseconds(500)),
         [this, it] { start(it); });
    }
  }

  // Results.

  void learn(size_t i, const std::vector<store::Object> &news) {
    for (const store::Object &it : news)
      if (it.Version != 0)
        LearnedAt[serialOf(it)].emplace(Processes[i].get(), now());
  }

  void countDelays() {
    for (uint64_t serial = 0; serial < WrittenAt.size(); ++serial) {
      MonoTime written = WrittenAt[serial];
      bool isTooLate =
          written + Milliseconds(4'000) > MonoTime{} + Options.Length;
      if (written < MonoTime{} + Options.DeathsAt || isTooLate ||
          Lost.contains(serial))
        continue;
      for (const ProcessPtr &it : Processes) {
        if (!it || it->StartedAt + Milliseconds(60) > written)
          continue;
        auto learned = LearnedAt[serial].find(it.get());
        MonoTime end = learned == LearnedAt[serial].end()
                           ? MonoTime{} + Options.Length
                           : learned->second;
        Out.Delays.push_back(toMilliseconds(end - written));
      }
    }
    std::sort(Out.Delays.begin(), Out.Delays.end());
  }

  SpreadSimulationOptions Options;
  std::vector<ProcessPtr> Processes;
  std::map<http::Endpoint, size_t> Indexes;
  uint64_t Revision = 0;
  uint64_t Era = 1;
  MonoTime AwayUntil{};
  /// The objects of the store in the order of their revisions.
  std::vector<store::Object> Objects;
  /// Times of all writes, in their order.
  std::vector<MonoTime> WrittenAt;
  /// Writes that the store has lost.
  std::set<uint64_t> Lost;
  std::map<uint64_t, std::map<const SimulatedProcess *, MonoTime>> LearnedAt;
  SpreadOutcome Out;
};

} // namespace

Milliseconds SpreadOutcome::percentile(double share) const {
  if (Delays.empty())
    return Milliseconds(0);
  auto i = static_cast<size_t>(share * static_cast<double>(Delays.size()));
  return Delays[std::min(i, Delays.size() - 1)];
}

SpreadOutcome simulateSpread(const SpreadSimulationOptions &o) {
  return Simulation(o).run();
}

} // namespace sardineford::standins
