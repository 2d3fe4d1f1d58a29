// Two of six daemons are cut off from the store and from the other four while a
// release brings a second software version of the model workers. One of the four
// is killed; its clients take their streams up again at the two that are cut off.
// Checks that no more than two streams hold events of both versions.
#include "Lab.hh"

#include <set>

using namespace lab;

namespace {

constexpr int Daemons = 6;
// Daemons that are cut off: a share of 0.35.
constexpr int CutOff = 2;
// A release replaces 4 of 12 workers, one in a second.
constexpr int Workers = 12;
constexpr int Replaced = 4;
constexpr milliseconds ReleaseGap{1000};
constexpr milliseconds Drain{2000};
constexpr int Events = 30;
constexpr milliseconds EventPause{150};
constexpr milliseconds Deadline{10000};
// Clients abandon a stream without an event for this long.
constexpr milliseconds FirstEvent{2000};
constexpr milliseconds CutTime{7500};
// From the begin of the cut.
constexpr milliseconds ReleaseAt{300};
constexpr milliseconds StreamsFrom{2800};
constexpr milliseconds KillAt{5000};
// Streams that may hold events of two versions.
constexpr int Allowed = 2;
constexpr int UsersPerDaemon = 30;

/// Events name the software version that made them.
Task<bool> serveStream(Worker &w, const Message &m, Connection &c) {
  int from = std::atoi(m.field("last-event-id").c_str());
  std::string out = "HTTP/1.1 200 OK\r\nRequest-Id: " + m.field("request-id") +
                    "\r\nServer-Seal: seal\r\nContent-Type: "
                    "text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (int i = from + 1; i <= Events; ++i) {
    std::string event =
        "id: " + std::to_string(i) + "\ndata: " + w.Version + "\n\n";
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", event.size());
    out += size + event + "\r\n";
    co_await c.write(std::exchange(out, ""));
    co_await sleepFor(EventPause);
  }
  co_await c.write("0\r\n\r\n");
  co_return true;
}

struct Stream {
  std::string Id;
  std::vector<int> Statuses;
  std::set<std::string> Versions;
  int LastEvent = 0;
  bool Broken = false;
  bool Whole = false;
};

void readEvents(const Message &m, Stream &s) {
  size_t at = 0;
  for (size_t end; (end = m.Body.find("\n\n", at)) != std::string::npos;
       at = end + 2) {
    std::string event = m.Body.substr(at, end - at);
    s.LastEvent = std::atoi(event.substr(4).c_str());
    s.Versions.insert(event.substr(event.find("data: ") + 6));
  }
}

std::string streamRequest(const std::string &id, const Stream &s) {
  std::string out =
      "POST /draft/deed HTTP/1.1\r\nHost: users.example\r\nRequest-Id: " + id +
      "\r\nModel: m\r\nToken-Counts: 600,30\r\nDeadline-Ms: 10000\r\n";
  if (s.LastEvent > 0)
    out += "Last-Event-Id: " + std::to_string(s.LastEvent) +
           "\r\nResumes: " + s.Id + "\r\n";
  return out + "Content-Length: 2\r\n\r\nhi";
}

/// Sends a stream, and takes it up once at another daemon if it breaks.
Task<void> play(std::shared_ptr<Stream> s, uint16_t first, uint16_t second) {
  s->Id = requestId();
  std::string id = s->Id;
  for (uint16_t port : {first, second}) {
    ConnectionPtr c = co_await connect(port);
    if (!c)
      co_return;
    Message m = co_await call(c, streamRequest(id, *s), Deadline, FirstEvent);
    s->Statuses.push_back(m.First.empty() ? 0 : int(m.status()));
    readEvents(m, *s);
    s->Whole = m.Whole && m.status() == 200;
    c->close();
    if (m.Whole)
      co_return;
    s->Broken = true;
    id = requestId();
  }
}

Task<int> runCase(std::string folder, std::ofstream &record) {
  Store store;
  json::object service = {{"name", "concierge"},
                          {"healthPath", "/health"},
                          {"maxConnections", 610},
                          {"engine",
                           {{"slots", 128},
                            {"kvCapacity", 795080},
                            {"tokenKvBytes", 35136},
                            {"linkMbps", 1100000}}}};
  store.put("config", "main",
            json::object{{"version", 1},
                         {"routes", json::array{route("r-1", "/draft/", "streaming",
                                                      "concierge", true, 10000, 2)}},
                         {"services", json::array{service}},
                         {"limits", {{"idleTimeoutMs", 15000}}}});
  std::vector<std::shared_ptr<Worker>> workers;
  auto startWorker = [&](const std::string &version) {
    workers.push_back(Worker::start(store,
                                    "i-" + std::to_string(workers.size() + 1),
                                    "concierge", serveStream, "decode", 128, version));
  };
  for (int i = 0; i < Workers; ++i)
    startWorker("v1");
  std::vector<std::unique_ptr<Daemon>> daemons;
  std::vector<StoreLink *> links;
  for (int i = 0; i < Daemons; ++i) {
    links.push_back(&store.addLink());
    daemons.push_back(std::make_unique<Daemon>(
        folder, Daemon::Options{.Name = "front-" + std::to_string(i + 1),
                                .Descriptors = 4200,
                                .Store = links[i]->Server->Port}));
  }
  std::vector<std::unique_ptr<DatagramLink>> between;
  for (int a = 0; a < CutOff; ++a)
    for (int b = CutOff; b < Daemons; ++b) {
      auto link = std::make_unique<DatagramLink>(daemons[a]->Peer, daemons[b]->Peer);
      auto own = [&](int i) {
        return "127.0.0.1:" + std::to_string(daemons[i]->Peer);
      };
      links[a]->Addresses[own(b)] = link->addressForFirst();
      links[b]->Addresses[own(a)] = link->addressForSecond();
      between.push_back(std::move(link));
    }
  std::vector<std::unique_ptr<Balancer>> balancers;
  for (auto &it : daemons) {
    it->start();
    balancers.push_back(std::make_unique<Balancer>(it->Readiness));
  }
  auto allReady = [&] {
    for (auto &it : balancers)
      if (!it->Ready)
        return false;
    return true;
  };
  for (int i = 0; i < 100 && !allReady(); ++i)
    co_await sleepFor(milliseconds(100));
  if (!allReady())
    co_return 2;
  // The processes have found each other.
  co_await sleepFor(milliseconds(5000));

  auto setCut = [&](bool cut) {
    for (int i = 0; i < CutOff; ++i)
      links[i]->Cut = cut;
    for (auto &it : between)
      it->Cut = cut;
  };
  setCut(hasTrouble());
  auto start = Clock::now();
  co_await sleepFor(ReleaseAt);
  auto release = [&]() -> Task<void> {
    for (int i = 0; i < Replaced; ++i) {
      startWorker("v2");
      go(Worker::leave(workers[i], Drain));
      co_await sleepFor(ReleaseGap);
    }
  };
  go(release());
  co_await sleepFor(StreamsFrom - ReleaseAt);
  std::vector<std::shared_ptr<Stream>> streams;
  for (int n = 0; n < UsersPerDaemon; ++n)
    for (int i = CutOff; i < Daemons; ++i) {
      streams.push_back(std::make_shared<Stream>());
      go(play(streams.back(), daemons[i]->Front, daemons[n % CutOff]->Front));
      co_await sleepFor(milliseconds(10));
    }
  co_await sleepFor(KillAt - milliseconds(int(1000 * secondsSince(start))));
  daemons[CutOff]->kill(SIGKILL);
  co_await sleepFor(CutTime - milliseconds(int(1000 * secondsSince(start))));
  setCut(false);
  co_await sleepFor(milliseconds(6000));

  int mixed = 0, broken = 0, went = 0;
  for (const auto &s : streams) {
    record << s->Id << " statuses";
    for (int it : s->Statuses)
      record << " " << it;
    record << " versions";
    for (const std::string &it : s->Versions)
      record << " " << it;
    record << (s->Whole ? " whole" : "") << (s->Broken ? " taken up" : "") << "\n";
    mixed += s->Versions.size() > 1 ? 1 : 0;
    broken += s->Broken ? 1 : 0;
    went += s->Broken && s->Whole ? 1 : 0;
  }
  record << streams.size() << " streams, " << broken << " taken up, " << went
         << " of these complete, " << mixed
         << " hold events of two versions; allowed " << Allowed << "\n"
         << (mixed > Allowed ? "ORDER is broken\n" : "ORDER held\n");
  if (const char *keep = std::getenv("KEEP_LOGS"))
    std::filesystem::copy(folder, keep, std::filesystem::copy_options::recursive);
  co_return mixed > Allowed ? 1 : 0;
}

} // namespace

int main(int, char **argv) {
  std::ofstream record(argv[1]);
  return run([&](std::string folder) { return runCase(folder, record); });
}
