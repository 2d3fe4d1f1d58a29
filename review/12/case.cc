// Thirteen processes, so that six of them watch the store for the others.
// Nothing fails: a server starts every two seconds, and some leave without
// reporting it. The check is whether requests still reach such a server later
// than drainMs after its entry was removed.
#include "../Lab3.hh"

using namespace lab;

namespace {

constexpr int Processes = 13;
constexpr int FilingServers = 12;
/// Bound of the rule on the site: drainMs.
constexpr double DrainTime = 3.0;
/// Time between two changes of the servers' entries; each third one is a
/// removal.
constexpr double Interval = 2.0;
constexpr int Changes = 30;
constexpr int ChangesPerRemoval = 3;

} // namespace

int main(int, char **argv) {
  openRecord(argv[1]);
  Store store;
  Serve serve = [](Worker &w, int fd, const Message &r) {
    w.began(r);
    sleepMs(15);
    return w.answer(fd, r, "filed");
  };
  std::vector<std::unique_ptr<Worker>> servers;
  auto add = [&](const std::string &service) {
    servers.push_back(std::make_unique<Worker>(
        store, "i-" + std::to_string(servers.size()), service, serve));
    servers.back()->announce();
    record("%s of %s starts", servers.back()->Id.c_str(), service.c_str());
  };
  for (int i = 0; i < FilingServers; ++i)
    add("filing");
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
  sleepMs(8000);
  std::atomic<bool> ended{false};
  std::thread callers([&] {
    for (int n = 0; !ended; ++n) {
      call(daemons[static_cast<size_t>(n) % Processes]->Front, "POST",
           "/file/1", "f-" + std::to_string(n), 2000, "filing");
      sleepMs(10);
    }
  });
  // A server of another service starts, or, each third time, one of the filing
  // servers leaves: its entry is removed, and it serves on.
  double begin = now();
  std::map<Worker *, double> removed;
  size_t next = 0;
  for (int i = 0; i < Changes; ++i) {
    sleepUntil(begin + i * Interval);
    if (i % ChangesPerRemoval == ChangesPerRemoval - 1) {
      Worker &it = *servers[next++];
      store.remove("servers", it.Id);
      removed[&it] = now();
      record("the entry of %s is removed", it.Id.c_str());
    } else if (hasTrouble()) {
      add("other");
    }
  }
  sleepMs(6000);
  ended = true;
  callers.join();
  int late = 0;
  for (const auto &[server, at] : removed)
    for (const Worker::Run &it : server->runs()) {
      if (it.At <= at + DrainTime)
        continue;
      ++late;
      record("%s began %s %.0f ms after its entry was removed",
             server->Id.c_str(), it.RequestId.c_str(), (it.At - at) * 1000);
    }
  finish(late > 0,
         "requests that reached a server later than drainMs after its "
         "entry was removed: " +
             std::to_string(late));
}
