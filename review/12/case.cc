// Thirteen processes, so that six of them watch the store for the others.
// Servers leave, one every two seconds: those of one service report that they
// drain; every third one is of another service and does not report it. The
// check is whether requests reach such a server later than drainMs after its
// entry was removed.
#include "../Lab3.hh"

using namespace lab;

namespace {

constexpr int Processes = 13;
/// Servers that leave with a report, and those that leave without one.
constexpr int ReportingServers = 60;
constexpr int SilentServers = 12;
/// Bound of the rule on the site: drainMs.
constexpr double DrainTime = 3.0;
/// Time between two servers that leave; every third one does not report it.
constexpr double Interval = 2.0;
constexpr int Leaves = 30;
constexpr int LeavesPerSilent = 3;
/// A server that drains has left after this many further ones.
constexpr int DrainSteps = 2;
/// Requests that each process gets at once, after drainMs.
constexpr int CallsPerProcess = 16;

} // namespace

int main(int, char **argv) {
  openRecord(argv[1]);
  Store store;
  std::mutex m;
  std::map<std::string, double> removedAt;
  Serve serve = [&](Worker &w, int fd, const Message &r) {
    w.began(r);
    sleepMs(15);
    std::lock_guard<std::mutex> lock(m);
    // A server that leaves says so in its answers.
    Headers more;
    if (removedAt.count(w.Id) > 0)
      more.push_back({"Server-Leaving", "1"});
    return w.answer(fd, r, "filed", more);
  };
  std::vector<std::unique_ptr<Worker>> reporting;
  std::vector<std::unique_ptr<Worker>> silent;
  for (int i = 0; i < ReportingServers; ++i)
    reporting.push_back(std::make_unique<Worker>(
        store, "r-" + std::to_string(i), "other", serve));
  for (int i = 0; i < SilentServers; ++i)
    silent.push_back(std::make_unique<Worker>(store, "s-" + std::to_string(i),
                                              "filing", serve));
  for (auto *servers : {&reporting, &silent})
    for (auto &it : *servers) {
      it->Slots = 64;
      it->announce();
    }
  store.put("config", "main",
            configuration(1,
                          {route("file", "/file/", "unsafe", "filing", 2000, 1),
                           route("other", "/other/", "safe", "other", 2000, 2)},
                          {"filing", "other"}));
  std::vector<std::unique_ptr<Daemon>> daemons;
  for (int i = 0; i < Processes; ++i) {
    daemons.push_back(
        std::make_unique<Daemon>("n" + std::to_string(i), store.port()));
    daemons.back()->start();
  }
  for (auto &it : daemons)
    if (!it->waitReady(20))
      cannotRun("a daemon is not ready");
  // Longer than stabilityWindowMs: the machines are in touch.
  sleepMs(8000);
  double begin = now();
  std::thread leaves([&] {
    size_t nextSilent = 0;
    for (int i = 0; i < Leaves; ++i) {
      sleepUntil(begin + i * Interval);
      if (i % LeavesPerSilent == LeavesPerSilent - 1) {
        Worker &it = *silent[nextSilent++];
        store.remove("servers", it.Id);
        record("the entry of %s is removed", it.Id.c_str());
        std::lock_guard<std::mutex> lock(m);
        removedAt[it.Id] = now();
      } else if (hasTrouble()) {
        reporting[static_cast<size_t>(i)]->announce("draining");
        record("%s drains", reporting[static_cast<size_t>(i)]->Id.c_str());
      }
      int left = i - DrainSteps;
      if (hasTrouble() && left >= 0 &&
          left % LeavesPerSilent != LeavesPerSilent - 1) {
        reporting[static_cast<size_t>(left)]->exit();
        store.remove("servers", reporting[static_cast<size_t>(left)]->Id);
      }
    }
  });
  // After each removal, requests at all processes once drainMs has passed.
  int n = 0;
  for (int i = LeavesPerSilent - 1; i < Leaves; i += LeavesPerSilent) {
    sleepUntil(begin + i * Interval + DrainTime + 0.2);
    std::vector<std::thread> callers;
    for (auto &it : daemons)
      for (int k = 0; k < CallsPerProcess; ++k)
        callers.emplace_back([&it, id = "f-" + std::to_string(n++)] {
          call(it->Front, "POST", "/file/1", id, 2000, "filing");
        });
    for (std::thread &it : callers)
      it.join();
  }
  leaves.join();
  int late = 0;
  for (auto &server : silent)
    for (const Worker::Run &it : server->runs()) {
      auto removed = removedAt.find(server->Id);
      if (removed == removedAt.end() || it.At <= removed->second + DrainTime)
        continue;
      ++late;
      record("%s began %s %.0f ms after its entry was removed",
             server->Id.c_str(), it.RequestId.c_str(),
             (it.At - removed->second) * 1000);
    }
  finish(late > 0,
         "requests that reached a server later than drainMs after its entry "
         "was removed: " +
             std::to_string(late) + " of " + std::to_string(n));
}
